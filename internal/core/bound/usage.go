package bound

// addUse adds to used what the best residences use of which the last ends in window end.
func (v *valuer) addUse(p prices, end int, used *prices) {
	k, extended := end, v.beganBefore(end)
	for {
		if extended {
			b := v.heldSince[k]
			if b == none {
				v.addMemory(used, k-1, v.g.width)
				k--
				continue
			}
			for w := b + 1; w < k; w++ {
				v.addMemory(used, w, v.g.width)
			}
			k, extended = b, false
		}
		j := v.previousEnd[k]
		if j == atStart {
			return
		}
		if j == none {
			v.addLoad(p, used, k, 0)
			return
		}
		v.addLoad(p, used, k, 1)
		if j == sameWindow {
			j = k
			extended = true
		} else {
			extended = v.beganBefore(j)
		}
		used.orders[v.unloadAt(p, j)] += v.unload
		k = j
	}
}

func (v *valuer) addLoad(p prices, used *prices, k, which int) {
	seconds := v.loadSeconds[which]
	j, _ := v.loadAt(p, k, which)
	v.addMemory(used, j, seconds)
	used.orders[j/v.g.perSpan] += seconds
}

func (v *valuer) addMemory(used *prices, k int, seconds float64) {
	for m := range measures {
		used.memory[m][k/v.g.perSpan] += v.size[m] * seconds
	}
}
