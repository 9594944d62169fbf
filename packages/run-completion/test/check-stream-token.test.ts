import test from 'ava';
import fc from 'fast-check';
import { checkStreamToken } from '@laburnumshift/run-completion';

const token = fc.record({
  id: fc.constantFrom('r', 'other'),
  weight_version: fc.constantFrom('v1', 'v2'),
  offset: fc.integer({ min: -1, max: 8 }),
  text: fc.constantFrom('a', 'b', 'x'),
});

// Guards against accepting a wrong token from a stream with crossed, duplicated or reordered tokens.
test('only the next token of the run is accepted', (t) => {
  const truth = ['a', 'b', 'a', 'a', 'b', 'b', 'a', 'b', 'a'];
  const property = fc.property(fc.array(token, { maxLength: 60 }), fc.nat({ max: 3 }), (stream, base) => {
    const texts: string[] = [];
    for (const item of stream) {
      const rest = { cached_pieces: 0, imported_pieces: 0, computed_tokens: 0, finish_reason: null };
      const own = item.id === 'r' && item.weight_version === 'v1';
      const text = own ? (truth[item.offset] ?? item.text) : item.text;
      const verdict = checkStreamToken({ ...item, ...rest, text }, { id: 'r', version: 'v1' }, base, texts);
      if (!own && (verdict === 'pass' || verdict === 'duplicate')) return false;
      if (verdict === 'pass') texts.push(text);
      if (verdict === 'duplicate' && texts[item.offset - base] !== text) return false;
    }
    return texts.every((text, i) => text === (truth[base + i] ?? text));
  });
  t.notThrows(() => {
    fc.assert(property, { seed: 20_240_901, numRuns: 500 });
  });
});
