// Command unseen writes copies of a site file of the users' bench with other nodes, servers and load, drawn from a seed: deployments that
// nothing here was fitted to. It is run by hand, beside the bench:
//
//	go run ./scripts/unseen SITE DIR SEED
package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"

	"github.com/BurntSushi/toml"
	"github.com/zeebo/errs"
)

// Error is the class of every error of the program.
var Error = errs.Class("unseen")

// table is a part of the site file, of which only a few fields are changed.
type table = map[string]any

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string) error {
	const wanted = 3
	if len(args) != wanted {
		return Error.New("usage: unseen SITE DIR SEED")
	}
	path, folder := args[0], args[1]
	seed, err := strconv.ParseUint(args[2], 10, 64)
	if err != nil {
		return Error.Wrap(err)
	}
	var site table
	if _, err := toml.DecodeFile(path, &site); err != nil {
		return Error.Wrap(err)
	}
	drawn := change(site, rand.New(rand.NewPCG(seed, 0)))
	if err := write(site, path, folder); err != nil {
		return err
	}
	fmt.Printf("%s: %s\n", filepath.Join(folder, filepath.Base(path)), drawn)
	return nil
}

// write puts the site file into a folder, with the files beside the original that the bench reads.
func write(site table, path, folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return Error.Wrap(err)
	}
	out, err := os.Create(filepath.Join(folder, filepath.Base(path)))
	if err != nil {
		return Error.Wrap(err)
	}
	defer out.Close()
	if err := toml.NewEncoder(out).Encode(site); err != nil {
		return Error.Wrap(err)
	}
	for _, name := range []string{"wire.json", "CUT"} {
		text, err := os.ReadFile(filepath.Join(filepath.Dir(path), name))
		if err != nil {
			return Error.Wrap(err)
		}
		if err := os.WriteFile(filepath.Join(folder, name), text, 0o644); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// draw is what a seed changes of a deployment.
type draw struct {
	// NodesPerDomain and ServersPerDomain count nodes and model servers.
	NodesPerDomain, ServersPerDomain int64
	// MemoryMB and CPU are a node's.
	MemoryMB int64
	CPU      float64
	// Slots and Speeds are a model server's.
	Slots  int64
	Speeds []float64
	// Load multiplies the requests a second.
	Load float64
}

// String implements fmt.Stringer.
func (d draw) String() string {
	return fmt.Sprintf("%d nodes a domain of %d MB and %.1f cores, %d model servers a domain of %d slots, load x %.1f",
		d.NodesPerDomain, d.MemoryMB, d.CPU, d.ServersPerDomain, d.Slots, d.Load)
}

// change draws a deployment and writes it into a site's tables.
func change(site table, rng *rand.Rand) draw {
	d := draw{
		NodesPerDomain: pick[int64](rng, 1, 1, 2, 3, 5), ServersPerDomain: pick[int64](rng, 1, 2, 4, 6),
		MemoryMB: pick[int64](rng, 96, 134, 200), CPU: pick(rng, 0.2, 0.4, 0.6),
		Slots: pick[int64](rng, 8, 16, 32, 64), Load: pick(rng, 0.4, 0.7, 1.3, 1.8),
	}
	const speeds, slowest, spread = 4, 0.5, 0.9
	for range speeds {
		d.Speeds = append(d.Speeds, slowest+spread*rng.Float64())
	}
	for _, machine := range tables(site["machines"]) {
		machine["count"], machine["memory_mb"], machine["cpu_share"] = d.NodesPerDomain, d.MemoryMB, d.CPU
	}
	before, after := int64(0), int64(0)
	for _, service := range tables(site["services"]) {
		model, ok := service["llm"].(table)
		if !ok {
			continue
		}
		for _, servers := range tables(service["servers"]) {
			if count, ok := servers["count"].(int64); ok {
				before += count
			}
			servers["count"] = d.ServersPerDomain
			after += d.ServersPerDomain
		}
		service["slots"], model["batch"], service["speeds"] = d.Slots, d.Slots, d.Speeds
	}
	// Fewer servers get less load, but not as much less: some of the deployments are overloaded.
	load := d.Load * math.Sqrt(min(1, float64(after)/float64(max(before, 1))))
	for _, traffic := range tables(site["traffic"]) {
		if perSecond, ok := traffic["per_s"].(float64); ok {
			traffic["per_s"] = perSecond * load
		}
	}
	return d
}

// tables returns a list of tables.
func tables(list any) []table {
	switch l := list.(type) {
	case []table:
		return l
	case []any:
		var found []table
		for _, item := range l {
			if t, ok := item.(table); ok {
				found = append(found, t)
			}
		}
		return found
	default:
		return nil
	}
}

func pick[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }
