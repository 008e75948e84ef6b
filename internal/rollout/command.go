package rollout

import "time"

// Command is an operator's command to a roll-out.
type Command string

// Commands.
const (
	CommandPause  Command = "pause"
	CommandResume Command = "resume"
	CommandAbort  Command = "abort"
)

// Start returns a new roll-out of a plan, in its first phase; it stores nothing. The error is IsErrBadPlan.
func Start(plan Plan, now time.Time) (RollOut, error) {
	plan = plan.WithDefaults()
	if err := plan.Check(); err != nil {
		return RollOut{}, err
	}
	return RollOut{
		Plan: plan, Phase: PhaseLoading, Since: now, Reason: plan.Reason, By: plan.Author, Transition: 1,
	}, nil
}

// Apply returns the roll-out after a command by an operator. The error is IsErrWrongPhase.
func (r RollOut) Apply(command Command, by, reason string, now time.Time) (RollOut, error) {
	snap := Snapshot{Now: now, Results: r.Settled}
	switch {
	case command == CommandPause && (r.Phase == PhaseLoading || r.Phase == PhaseGrowing):
		return r.moveTo(PhasePaused, reason, by, snap), nil
	case command == CommandResume && r.Phase == PhasePaused:
		return r.moveTo(r.Resume, reason, by, snap), nil
	case command == CommandAbort && !r.Phase.IsFinal() && r.Phase != PhaseAborting:
		return r.moveTo(PhaseAborting, reason, by, snap), nil
	}
	return r, Error.Wrap(&ErrWrongPhase{Command: command, Phase: r.Phase})
}
