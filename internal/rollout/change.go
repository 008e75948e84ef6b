package rollout

import (
	"slices"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// withPhaseApplied returns a copy of the configuration in which the roll-out's versions have the states that its phase requires.
// The error is IsErrVersionNotExist.
func withPhaseApplied(config *fleet.Config, r RollOut) (*fleet.Config, error) {
	next := *config
	next.Services = slices.Clone(config.Services)
	set := func(v *fleet.Version) { v.State, v.Share = r.CandidateState(), 0 }
	if err := setVersion(&next, r.Plan.Service, r.Plan.Version, set); err != nil {
		return nil, err
	}
	if r.Phase != PhaseDone || !r.Plan.DrainControl {
		return &next, nil
	}
	drain := func(v *fleet.Version) { v.State, v.Share = fleet.StateDraining, 0 }
	return &next, setVersion(&next, r.Plan.Service, r.Plan.Control, drain)
}

// setVersion calls set with a copy of a version and puts the copy into the configuration. The caller must have cloned
// config.Services; the slices below it are cloned here.
func setVersion(config *fleet.Config, name api.Service, id api.VersionID, set func(*fleet.Version)) error {
	for i := range config.Services {
		service := &config.Services[i]
		if _, ok := service.FindVersion(id); !ok || service.Name != name {
			continue
		}
		service.Models = slices.Clone(service.Models)
		for j := range service.Models {
			service.Models[j].Versions = slices.Clone(service.Models[j].Versions)
		}
		version, _ := service.FindVersion(id)
		set(version)
		return nil
	}
	return Error.Wrap(&ErrVersionNotExist{Service: name, Version: id})
}
