// Package fault runs programs as processes for tests and injects faults from outside:
// with signals, and with proxies on loopback that delay, drop or reset their
// connections. The product must not import it.
package fault
