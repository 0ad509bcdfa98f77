// Package bound computes what a load could earn at most on engines that hold few of the
// models asked for, were all demand known ahead. No policy earns more, so the gap between
// a policy and the bound tells how much is left to gain, at most. It knows nothing of how
// decisions are made and takes no part in any.
//
// # What every policy must respect
//
// Time is cut into windows. For a model m let H be the times at which some engine holds it,
// be it that an unload of it is under way; H is a union of separate stays. A stay in which no
// request runs is left out: without it the policy earns as much and uses less.
//
//   - Memory. Let the share x of a model be its size by the size of an engine. A dual
//     feasible function f has this property: if the shares of a set of models add up to at
//     most 1, so do their f(x). What an engine holds and loads fits it, hence at any time
//     the sum of f(x), over all that engines hold or load, is at most the number of
//     engines. This is so for f(x) = x and, for whole k, for f(x) = floor((k+1)x)/k, or x
//     if (k+1)x is whole [Fekete and Schepers, Mathematical Programming 91, 2001]; the
//     latter tell that two models of 0.6 do not share an engine.
//   - Orders. An engine carries out one load or unload at a time, hence all loads and unloads
//     take at most as many seconds in a window as there are engines, times its length.
//   - A stay that does not begin at the very start follows a load that ends as it begins;
//     the engine's memory is taken from the load's start on. Between two stays of a model
//     lies an unload, where models do not also go with their engines. Loads take at least
//     the times that the model names.
//   - A stay lasts at least until a request has run that arrived before the stay's end and can
//     still earn something at its beginning.
//   - A request earns its worth at most once, its full worth only if the model is held at some
//     time between From and InTime, the smaller one only if so between From and Late.
//   - With OnDemand, a load does not begin before a request has arrived since the stay before.
//     This binds only policies that load nothing ahead and no second replica while the first
//     one goes.
//
// # Why the result is above every policy
//
// Put a price, zero or more, on each engine's second of memory, for each f, and of order
// time, window by window. Take any policy. By the first two points, what it uses costs no
// more than the prices of all there is, so
//
//	earned <= prices of all there is + sum over models (earned there - cost of what it used).
//
// The term of a model is at most the best over all sets of stays, with their cost counted
// too low and their earnings too high: a window that a stay touches serves as if it were
// held all through, a window in which it begins or ends costs no memory, and a load costs
// the lowest price of the windows that it can touch. That best is found by going through the
// windows once (see valuer). Each choice of prices thus gives a bound; the lowest found is
// returned. Prices are moved by the subgradient method, whose errors cost sharpness only.
//
// What is left out, all of it in the policy's favour: slots and computing time of engines,
// second replicas of busy models, adapters, the weight store's speed, messages.
package bound
