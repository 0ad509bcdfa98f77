// Package replay drives the decision packages with a recorded or generated
// trace on virtual time and reports what their decisions led to: cold-start
// times, idle accelerator hours, refusals, fairness, memory and replicas.
//
// It is a replay of one trace through the decisions of one control group, not
// a simulator of a cluster: the engine is a timer, the weight store a shared
// bandwidth, messages take a fixed time. The state machine, planner, ledgers
// and admission queues are the real ones.
package replay
