// Package rules turns the text of the operators' rules file into shed.Rules.
//
// The file is INI, one rule a line, and each line ends in a comment that names
// who asked for it. Parse is the one judge of such a file: the command line and
// every daemon use it, so the same text gets the same verdict everywhere.
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

// Parse compiles the text of a rules file. If it has any fault, the rules are
// nil and the faults list every one of them, sorted by line. The verdict
// depends on nothing but the text.
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

// Compile is Parse for callers that want a plain error; it is a Faults.
func Compile(text []byte, rev shed.Revision) (*shed.Rules, error) {
	r, faults := Parse(text, rev)
	if len(faults) > 0 {
		return nil, faults
	}
	return r, nil
}
