// Package proof holds the fault matrix, the oracle and the fuzzing of whole
// daemons: real decision cores in a small world in virtual time, with fakes for
// the network, the platform and the backend servers. The oracle reads only what
// callers, backend servers and operators saw. docs/proofs.md tells what is
// proved by it.
package proof
