// All invokers start cold, and one function gets 40% of the requests for 4 seconds. The three controllers know each other's
// load only from the load reports of the invokers; together they must not overload an invoker.
(import 'bad-day.jsonnet') {
  length: '10s',
  fresh: true,
  clients+: { rate: 120, functions: 8, zipf: 1.6 },
  happenings: [
    { at: '2s', kind: 'command', who: 'clients', say: 'favourite share=0.4 count=1', 'then': 'favourite share=0', lasts: '4s' },
    { at: '5s', kind: 'crash', who: ['i3', 'i4', 'i5'], notice: '500ms', lasts: '1500ms' },
  ],
}
