package cmd

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestExitCodes(t *testing.T) {
	for _, test := range []struct {
		name string
		args []string
		code int
	}{
		{"help", []string{"--help"}, ExitOK},
		{"version", []string{"version"}, ExitOK},
		{"unknown subcommand", []string{"frobnicate"}, ExitUsage},
		{"unknown flag", []string{"version", "--frobnicate"}, ExitUsage},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := Main(test.args, &out, &errOut)
			qt.Assert(t, code, qt.Equals, test.code)
			qt.Assert(t, out.Len()+errOut.Len() > 0, qt.IsTrue)
		})
	}
}
