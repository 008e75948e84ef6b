package setting

import (
	"net/url"
	"strconv"
	"time"
)

// Platform holds the addresses of the platform's services and how often they are called.
type Platform struct {
	KV               []string      `long:"kv" env:"MONSOONRAIL_KV" env-delim:"," description:"base URL of an endpoint of the key-value service; may be repeated (required)"`
	KVTimeout        time.Duration `long:"kv-timeout" env:"MONSOONRAIL_KV_TIMEOUT" default:"2s" description:"time for one call of the key-value service, from 100ms to 30s"`
	VMList           string        `long:"vm-list" env:"MONSOONRAIL_VM_LIST" description:"base URL of the VM list (required)"`
	Rating           string        `long:"rating" env:"MONSOONRAIL_RATING" description:"base URL of the rating service; none if empty"`
	RatingsPerSecond float64       `long:"ratings-per-second" env:"MONSOONRAIL_RATINGS_PER_SECOND" default:"5" description:"answers that this node hands to the rating service, from 0.01 to 1000"`
	WeightStore      string        `long:"weight-store" env:"MONSOONRAIL_WEIGHT_STORE" description:"base URL of the weight store; none if empty"`
	VMListPoll       time.Duration `long:"vm-list-poll" env:"MONSOONRAIL_VM_LIST_POLL" default:"1s" description:"how often the VM list is asked, from 100ms to 1m"`
	LoadPoll         time.Duration `long:"load-poll" env:"MONSOONRAIL_LOAD_POLL" default:"1s" description:"how often each backend server is asked for its load, from 100ms to 1m"`
	ServerSubset     int           `long:"server-subset" env:"MONSOONRAIL_SERVER_SUBSET" default:"40" description:"servers of each service that this node uses on average, from 4 to 48"`
}

const (
	minKVTimeout = 100 * time.Millisecond
	maxKVTimeout = 30 * time.Second
	minPoll      = 100 * time.Millisecond
	maxPoll      = time.Minute
	minRatings   = 0.01
	maxRatings   = 1000
	minSubset    = 4
	maxSubset    = 48
)

func (p *Platform) check() []error {
	var faults []error
	if len(p.KV) == 0 {
		faults = append(faults, badSetting("kv", "", "at least one base URL"))
	}
	for _, endpoint := range p.KV {
		faults = append(faults, checkURL("kv", endpoint)...)
	}
	faults = append(faults, checkURL("vm-list", p.VMList)...)
	if p.Rating != "" {
		faults = append(faults, checkURL("rating", p.Rating)...)
	}
	if p.WeightStore != "" {
		faults = append(faults, checkURL("weight-store", p.WeightStore)...)
	}
	if p.Rating != "" && (p.RatingsPerSecond < minRatings || p.RatingsPerSecond > maxRatings) {
		faults = append(faults, badSetting("ratings-per-second", strconv.FormatFloat(p.RatingsPerSecond, 'g', -1, 64), "from 0.01 to 1000"))
	}
	faults = append(faults, checkRange("kv-timeout", p.KVTimeout, minKVTimeout, maxKVTimeout)...)
	faults = append(faults, checkRange("vm-list-poll", p.VMListPoll, minPoll, maxPoll)...)
	faults = append(faults, checkRange("load-poll", p.LoadPoll, minPoll, maxPoll)...)
	if p.ServerSubset < minSubset || p.ServerSubset > maxSubset {
		faults = append(faults, badSetting("server-subset", strconv.Itoa(p.ServerSubset), "a whole number from 4 to 48"))
	}
	return faults
}

func checkURL(flag, text string) []error {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return []error{badSetting(flag, text, "a base URL such as http://127.0.0.1:2379")}
	}
	return nil
}
