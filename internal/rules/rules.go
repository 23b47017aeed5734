// Package rules compiles the text of the operators' rules file into shed.Rules.
//
// The file is INI with one rule per line; each line ends in a comment that names who
// requested it. The command line and every daemon validate such a file with Parse, so the
// same text gets the same result everywhere.
package rules

import (
	shed "jasmineshed"
)

// The sections of a rules file.
const (
	sectionZones      = "zones"
	sectionSuppliers  = "suppliers"
	sectionModels     = "models"
	sectionPools      = "pools"
	sectionServers    = "servers"
	sectionPipelines  = "pipelines"
	sectionStages     = "stages"
	sectionWorkspaces = "workspaces"
	sectionLimits     = "limits"
)

// Parse compiles the text of a rules file. If it has any fault, the rules are nil and all
// faults are returned, sorted by line. The result depends on nothing but the text.
func Parse(text []byte, rev shed.Revision) (*shed.Rules, Faults) {
	return parse(text, rev, nil)
}

func parse(text []byte, rev shed.Revision, cache *lineCache) (*shed.Rules, Faults) {
	rows, faults := readRows(text, cache)
	b := newBuilder(rev, len(rows), faults)
	for _, row := range rows {
		b.addRow(row)
	}
	b.link()
	if len(b.faults) > 0 {
		return nil, b.faults.sorted()
	}
	return b.rules, nil
}

// Compile is Parse for callers that need an error; it is a Faults.
func Compile(text []byte, rev shed.Revision) (*shed.Rules, error) {
	r, faults := Parse(text, rev)
	if len(faults) > 0 {
		return nil, faults
	}
	return r, nil
}
