package placement

import (
	"fmt"
	"slices"
	"strings"
)

// Policy holds the weights of the cost model, the mechanisms that are off and the optional
// mechanisms that are on.
type Policy struct {
	// FetchWeight is the cost of a transfer between engines, in ms of prompt processing per
	// ms that it takes.
	FetchWeight float64
	// Off holds the mechanisms that are switched off.
	Off Mechanisms
	// Enabled holds the optional mechanisms that are switched on.
	Enabled Mechanisms
}

const (
	// defaultFetchWeight is above 1 because a transfer uses the links and the memory of two
	// engines.
	defaultFetchWeight = 2.5
	maxFetchWeight     = 100
)

// DefaultPolicy returns the policy with all mechanisms on but the optional ones.
func DefaultPolicy() Policy { return Policy{FetchWeight: defaultFetchWeight} }

// Validate returns an error for weights that make no sense.
func (p *Policy) Validate() error {
	if !(p.FetchWeight >= 0 && p.FetchWeight <= maxFetchWeight) { // also if it is not a number
		return fmt.Errorf("fetch weight is %v, accepted range: 0 to %d", p.FetchWeight, maxFetchWeight)
	}
	return nil
}

// Mechanism is a part of the decisions that can be switched off to measure what it is
// worth.
type Mechanism uint32

// Mechanisms is a set of mechanisms.
type Mechanisms uint32

// Mechanisms of the placement and of the instance around it; mechanisms describes them.
// ColdRamp and LoadBound keep promises to the users and are switched off in experiments only.
const (
	HashOrder Mechanism = 1 << iota
	Fetching
	LearnedRate
	AvoidSuspects
	ErrorCost
	Slowdown
	LoadBound
	Shortlist
	ColdRamp
	Waiting
	SecondRuns
	PlacementReports
	PromptLearning
	RequestUrgency
	PromptQuarantine

	// Optional mechanisms: a deployment asks for them in its settings.
	ServicePacing
	PromptIsolation
	SendShares
)

const optional = Mechanisms(ServicePacing | PromptIsolation | SendShares)

// MechanismInfo describes a mechanism to operators.
type MechanismInfo struct {
	Mechanism Mechanism
	// Name is the name in the settings.
	Name string
	// Does tells what the mechanism does.
	Does string
}

var mechanisms = []MechanismInfo{
	{HashOrder, "hash_order", "keeps a prompt on the engines that rank first by its hash"},
	{Fetching, "fetching", "lets an engine fetch cached parts from another one"},
	{LearnedRate, "learned_rate", "estimates the rate at which engines process prompts"},
	{AvoidSuspects, "avoid_suspects", "avoids servers that failed recently"},
	{ErrorCost, "error_cost", "adds the cost of a server's excess errors"},
	{Slowdown, "slowdown", "corrects expected times by the observed ones"},
	{LoadBound, "load_bound", "excludes engines far above the mean load"},
	{Shortlist, "shortlist", "compares only a few engines in large pools"},
	{ColdRamp, "cold_ramp", "limits the requests to cold servers"},
	{Waiting, "waiting", "lets requests wait for a server instead of refusing them at once"},
	{SecondRuns, "second_runs", "sends failed requests to another server"},
	{PlacementReports, "placement_reports", "tells the peers which prompts were sent where"},
	{PromptLearning, "prompt_learning", "learns after a start what the engines cache"},
	{RequestUrgency, "request_urgency", "tells engines which requests go first"},
	{PromptQuarantine, "prompt_quarantine", "refuses requests with prompt parts that crash engines"},
	{ServicePacing, "service_pacing", "optional: paces requests to short pools of plain services by fair shares"},
	{PromptIsolation, "prompt_isolation", "optional: keeps short prompts from waiting behind long ones"},
	{SendShares, "send_shares", "optional: limits the share of an instance's requests that goes to one engine"},
}

// ListMechanisms returns all mechanisms.
func ListMechanisms() []MechanismInfo { return slices.Clone(mechanisms) }

// ParseMechanisms returns the set of the named mechanisms.
func ParseMechanisms(names []string) (Mechanisms, error) {
	var set Mechanisms
	for _, name := range names {
		i := slices.IndexFunc(mechanisms, func(m MechanismInfo) bool { return m.Name == name })
		if i < 0 {
			return 0, fmt.Errorf("mechanism %q is unknown, known are %s", name, knownMechanisms())
		}
		set |= Mechanisms(mechanisms[i].Mechanism)
	}
	return set, nil
}

func knownMechanisms() string {
	names := make([]string, len(mechanisms))
	for i, m := range mechanisms {
		names[i] = m.Name
	}
	return strings.Join(names, ", ")
}

// Has reports whether m is in the set.
func (s Mechanisms) Has(m Mechanism) bool { return s&Mechanisms(m) != 0 }

// On reports whether a mechanism is on.
func (p *Policy) On(m Mechanism) bool {
	return !p.Off.Has(m) && (!optional.Has(m) || p.Enabled.Has(m))
}

// ParseOptional returns the set of the named mechanisms, all of which have to be optional.
func ParseOptional(names []string) (Mechanisms, error) {
	set, err := ParseMechanisms(names)
	if err == nil && set&^optional != 0 {
		return 0, fmt.Errorf("only optional mechanisms can be enabled, others are on unless disabled")
	}
	return set, err
}
