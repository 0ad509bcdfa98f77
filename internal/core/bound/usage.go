package bound

// use adds up what the best stays use, the last of which ends in window end.
func (v *valuer) use(p prices, end int, used *prices) {
	k, going := end, v.wentOn(end)
	for {
		if going {
			b := v.goesFrom[k]
			if b == none {
				v.useMemory(used, k-1, v.g.width)
				k--
				continue
			}
			for w := b + 1; w < k; w++ {
				v.useMemory(used, w, v.g.width)
			}
			k, going = b, false
		}
		j := v.startOf[k]
		if j == atStart {
			return
		}
		if j == none {
			v.useLoad(p, used, k, 0)
			return
		}
		v.useLoad(p, used, k, 1)
		if j == inPlace {
			j = k
			going = true
		} else {
			going = v.wentOn(j)
		}
		used.orders[v.unloadAt(p, j)] += v.unload
		k = j
	}
}

func (v *valuer) useLoad(p prices, used *prices, k, which int) {
	takes := v.takes[which]
	j, _ := v.loadAt(p, k, which)
	v.useMemory(used, j, takes)
	used.orders[j/v.g.perSpan] += takes
}

func (v *valuer) useMemory(used *prices, k int, seconds float64) {
	for m := range measures {
		used.memory[m][k/v.g.perSpan] += v.size[m] * seconds
	}
}
