// A fresh fleet: all invokers start cold with the day, under three controllers that see each other's work only in
// load reports. Together they must push none over, and a favourite draws all of them to one.
(import 'bad-day.jsonnet') {
  length: '10s',
  fresh: true,
  clients+: { rate: 120, functions: 8, zipf: 1.6 },
  happenings: [
    { at: '2s', kind: 'command', who: 'clients', say: 'favourite share=0.4 count=1', 'then': 'favourite share=0', lasts: '4s' },
    { at: '5s', kind: 'crash', who: ['i3', 'i4', 'i5'], notice: '500ms', lasts: '1500ms' },
  ],
}
