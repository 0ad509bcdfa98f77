package dev

import (
	"fmt"

	"github.com/cassiapass/cassiapass/internal/core/record"
)

// Keys of the sample customers. They are valid in the development system only.
const (
	KeyEast   = "dev-key-utility-east"
	KeyWest   = "dev-key-utility-west"
	KeyOffice = "dev-key-sector-office"
	KeyBatch  = "dev-key-inspectors"
)

func digest(key string) string { return record.FormatDigest(record.DigestKey(key)) }

// sampleKyushu is a record under schema version 1.
func sampleKyushu() string {
	return fmt.Sprintf(`{
  "schemaVersion": 1,
  "service": "outage-reports",
  "place": "kyushu",
  "coldStartWeight": 0.8,
  "firstAnswer": "1.9s",
  "replicas": {"min": 0, "max": 2},
  "customers": [
    {"name": "utility-east", "keyDigests": ["%s"], "replicasSold": 1, "ratePerSecond": 2000},
    {"name": "utility-west", "keyDigests": ["%s"], "replicasSold": 1, "ratePerSecond": 2000}
  ],
  "models": [
    {"name": "summary", "version": "1", "bytes": 8000000000, "adapters": [
      {"name": "east-terms", "version": "1", "bytes": 200000000}]},
    {"name": "notice", "version": "1", "bytes": 14000000000},
    {"name": "classify", "version": "2", "bytes": 4000000000}
  ]
}`, digest(KeyEast), digest(KeyWest))
}

// sampleKigali is a record under schema version 2, with a plain service.
func sampleKigali() string {
	return fmt.Sprintf(`{
  "schemaVersion": 2,
  "service": "dog-licences",
  "place": "kigali",
  "coldStartWeight": 0.2,
  "firstAnswer": "1.9s",
  "replicas": {"min": 0, "max": 1},
  "customers": [
    {"name": "sector-office", "keyDigests": ["%s"], "replicasSold": 1, "ratePerSecond": 2000, "priority": "interactive"},
    {"name": "inspectors", "keyDigests": ["%s"], "replicasSold": 1, "ratePerSecond": 2000, "priority": "batch", "models": ["certificates"]}
  ],
  "models": [
    {"name": "assistant", "version": "1", "bytes": 8000000000, "startWithin": "20s"},
    {"name": "certificates", "version": "1", "bytes": 14000000000, "startWithin": "10m"}
  ],
  "plainServices": [
    {"name": "receipts", "timeout": "10s", "routes": [
      {"method": "POST", "prefix": "/renewals", "repeatable": false},
      {"method": "POST", "prefix": "/lookups", "repeatable": true}]}
  ]
}`, digest(KeyOffice), digest(KeyBatch))
}

// Samples returns the initial records of the development system.
func Samples() []record.Text {
	return []record.Text{record.Text(sampleKyushu()), record.Text(sampleKigali())}
}
