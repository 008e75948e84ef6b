package crashes

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// Error is the class of every error of the package.
var Error = errs.Class("crashes")

// Suspect is what may crash servers: a prompt part at a service, or a request as a whole.
type Suspect string

const wholeRequestPrefix = "request/"

// Part returns the suspect for a prompt part of requests to a service.
func Part(service route.Service, part string) Suspect {
	return Suspect("part/" + string(service) + "/" + part)
}

// WholeRequest returns the suspect for a request that may be sent again unchanged; parts are all parts of its prompt. It is the same at all
// services, since routes move from one to another.
func WholeRequest(host string, team route.Team, method, target string, parts []string, body []byte) Suspect {
	digest := xxhash.New()
	for _, part := range append([]string{host, string(team), method, target}, parts...) {
		// Writes to a digest don't fail. The length keeps the parts apart.
		_, _ = digest.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	_, _ = digest.Write(body)
	return Suspect(wholeRequestPrefix + strconv.FormatUint(digest.Sum64(), 16))
}

func (s Suspect) isWholeRequest() bool { return strings.HasPrefix(string(s), wholeRequestPrefix) }

// KeyPrefix precedes the keys of reports in the store.
const KeyPrefix = "monsoonrail/crashes/"

// Key returns the report's key in the store. It has hashes, since suspects and request ids have no maximum length.
func (r Report) Key() string {
	hash := func(text string) string { return strconv.FormatUint(xxhash.Sum64String(text), 16) }
	return KeyPrefix + hash(string(r.Suspect)) + "/" + hash(string(r.Request))
}

// Encode returns the report as the value to store.
func (r Report) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, Error.Wrap(err)
}

// Decode decodes a stored report.
func Decode(pair kv.Pair) (Report, error) {
	var report Report
	err := json.Unmarshal(pair.Value, &report)
	return report, Error.Wrap(err)
}
