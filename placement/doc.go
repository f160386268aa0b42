// Package placement is the load balancer for programs: it selects the endpoint where a
// program or call is predicted to complete first, from the loads that endpoints report.
package placement
