// Package allowances compares methods of enforcing customers' allowances (rate and burst)
// across many entries, in virtual time. The method used in production runs its production
// code; the others are implemented here for the comparison only.
package allowances
