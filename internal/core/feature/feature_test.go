package feature

import (
	"testing"

	"github.com/matryer/is"
)

func TestParts(t *testing.T) {
	pressure, shared := Deployment{Pressure: true, Backups: true}, Deployment{SharedHosts: true, Moves: true}
	cases := []struct {
		name     Name
		settings Settings
		dep      Deployment
		want     bool
	}{
		{Urgency, nil, Deployment{}, false},
		{Urgency, nil, pressure, true},
		{Urgency, nil, shared, false},
		{Urgency, Settings{Urgency: Off}, pressure, false},
		{Urgency, Settings{Urgency: On}, Deployment{}, true},
		{Pace, nil, pressure, false},
		{Pace, nil, shared, true},
		{Standby, nil, Deployment{Backups: true, Moves: true}, false},
		{Standby, nil, pressure, false},
		{Standby, Settings{Standby: On}, pressure, true},
		{Standby, nil, shared, true},
		{Standby, Settings{Standby: On}, Deployment{Pressure: true}, false}, // engines can do neither
		{Foresight, nil, Deployment{}, false},
		{Foresight, nil, shared, false},
		{Foresight, Settings{Foresight: Auto}, pressure, false},
		{Foresight, Settings{Foresight: On}, Deployment{}, true},
		{Backups, nil, pressure, false},
		{Backups, Settings{Backups: On}, pressure, true},
		{Backups, Settings{Backups: On}, shared, false}, // engines make none
	}
	for _, c := range cases {
		is := is.New(t)
		is.Equal(c.settings.Enabled(c.name, c.dep), c.want) // c.name, c.dep
	}
}

func TestBadSettingsAreRefused(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]string{"pace=off", "standby=on"})
	is.NoErr(err)
	is.Equal(s, Settings{Pace: Off, Standby: On})
	for _, v := range [][]string{{"pace"}, {"speed=on"}, {"pace=yes"}, {"pace=on", "pace=off"}, {""}} {
		_, err := Parse(v)
		is.True(err != nil) // v
	}
}
