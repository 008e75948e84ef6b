package fleet

import (
	"bytes"

	"go.yaml.in/yaml/v3"
)

// Encode returns the configuration as one canonical YAML file: equal configurations yield equal bytes.
// The revision is left out.
func (c *Config) Encode() []byte {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	// Encoding to memory fails only for unsupported types, which Config doesn't contain.
	if err := encoder.Encode(c); err != nil {
		panic(err)
	}
	return out.Bytes()
}
