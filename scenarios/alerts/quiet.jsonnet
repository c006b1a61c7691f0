// A quiet day of the bad day's deployment, with no trouble at all: no alert may fire. The base of the others here,
// whose trouble begins at 12 s.
(import '../bad-day.jsonnet') {
  length: '26s',
  clients+: { rate: 80, impatient: 0, large_share: 0 },
  happenings: [],
}
