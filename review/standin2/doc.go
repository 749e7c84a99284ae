// Command standin2 plays the cases of the second review against the project's own programs. It
// starts schedulers and gateways as separate processes on loopback addresses, and stands in for
// workers, the platform's machine service, the operator and clients.
//
// Usage: standin2 CASE PROGRAMS RECORD. CASE is the name of a case, PROGRAMS the folder of the built
// programs, RECORD the file for what was sent, answered and run. The exit status is 1 if a rule was
// broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment, the case
// is played without its disruption.
package main
