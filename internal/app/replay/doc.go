// Package replay drives the decision packages with a recorded or generated
// trace in virtual time and reports the results of their decisions: cold-start
// times, idle accelerator hours, refusals, fairness, memory and replicas.
//
// It replays one trace through the decisions of one control group and does not
// simulate a whole cluster: the engine is a timer, the weight store a shared
// bandwidth, and messages take a fixed time. The state machine, planner, ledgers
// and admission queues are the production code.
package replay
