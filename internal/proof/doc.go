// Package proof tests whole daemons by fault injection: a fault matrix, random
// fault schedules and the oracle that checks them. Real decision cores run in a
// small simulated world in virtual time, with fakes for the network, the
// platform and the backend servers. The oracle reads only what callers, backend
// servers and operators observed. See docs/proofs.md for what it proves.
package proof
