// The deployment of bad-day.jsonnet without faults: no alert may fire. The other scenarios in this folder import this one
// and add faults.
(import '../bad-day.jsonnet') {
  length: '26s',
  clients+: { rate: 80, impatient: 0, large_share: 0 },
  happenings: [],
}
