// Package bound computes an upper bound on the value that any policy can earn from a load,
// on engines that can hold only a few of the requested models, even if all demand is known
// in advance. The gap between a policy and the bound limits what is left to gain. The
// package does not depend on how placement decides, and placement does not use it.
//
// # Constraints on every policy
//
// Time is divided into windows. For a model m, let H be the times at which some engine holds
// it, including while an unload of it is in progress; H is a union of disjoint residences. A
// residence in which no request runs is ignored: without it, the policy earns as much and
// uses less.
//
//   - Memory. Let the share x of a model be its size divided by the size of an engine. A dual
//     feasible function f has this property: if the shares of a set of models add up to at
//     most 1, so do their f(x). What an engine holds and loads fits into it, hence at any
//     time the sum of f(x), over all that engines hold or load, is at most the number of
//     engines. This holds for f(x) = x and, for each integer k > 0, for
//     f(x) = floor((k+1)x)/k, or x if (k+1)x is an integer [Fekete and Schepers,
//     Mathematical Programming 91, 2001]; the latter functions capture that two models of
//     0.6 do not share an engine.
//   - Orders. An engine carries out one load or unload at a time, hence all loads and unloads
//     in a window take at most its length times the number of engines.
//   - A residence that does not begin at the start of the problem follows a load that ends as
//     the residence begins; the engine's memory is occupied from the start of the load.
//     Between two residences of a model lies an unload, unless models are also lost with
//     their engines. Loads take at least the times stated for the model.
//   - A residence lasts at least until a request has run that arrived before the end of the
//     residence and can still earn something at its beginning.
//   - A request earns its value at most once: the full value only if the model is held at some
//     time between From and InTime, the smaller value only if it is held at some time between
//     From and Late.
//   - With OnDemand, a load does not begin before a request has arrived since the previous
//     residence. The bound then holds only for policies that load nothing in advance, and no
//     second replica while the first one is being unloaded.
//
// # Why no policy exceeds the bound
//
// Assign a price of zero or more to each second of an engine's memory, for each f, and to
// each second of order time, in each window. Take any policy. By the first two constraints,
// what it uses costs no more than the price of all capacity, so
//
//	earned <= price of all capacity + sum over models (earned there - cost of what it used).
//
// The term of a model is at most the maximum over all sets of residences, with their cost
// underestimated and their earnings overestimated: a window that a residence touches serves
// requests as if the model were held throughout, a window in which it begins or ends costs no
// memory, and a load costs the lowest price of the windows that it can touch. That maximum is
// found by dynamic programming, in one pass over the windows (see valuer). Each choice of
// prices thus gives a bound; the lowest one found is returned. Prices are adjusted by the
// subgradient method, whose errors only make the bound less tight.
//
// The following are not modelled, which can only raise the bound: slots and computing time of
// engines, second replicas of busy models, adapters, the speed of the weight store, messages.
package bound
