import test from 'ava';
import { buildPrompt } from '../src/build-prompt.js';
import { DEPLOYMENTS } from '../src/deployments.js';
import { generateWorkload } from '../src/generate-workload.js';

const DURATION_MS = 20_000;
const DEPLOYMENT = DEPLOYMENTS['night-walk'];

// Guards against candidates that are compared over different workloads.
test('a seed repeats its workload', (t) => {
  const first = generateWorkload(DEPLOYMENT, 7, 1, DURATION_MS);
  t.deepEqual(first, generateWorkload(DEPLOYMENT, 7, 1, DURATION_MS));
  t.notDeepEqual(first, generateWorkload(DEPLOYMENT, 8, 1, DURATION_MS));
});

// Guards against a load whose rate is not the declared one, e.g. because returns are not counted in it.
test('the load follows the declared rates', (t) => {
  const declared = DEPLOYMENT.classes.reduce((sum, kind) => sum + kind.perSecond, 0);
  for (const load of [0.5, 1, 2]) {
    const { length } = generateWorkload(DEPLOYMENT, 3, load, DURATION_MS);
    const expected = (declared * load * DURATION_MS) / 1_000;
    t.true(Math.abs(length - expected) < expected * 0.3, `${String(length)} of ${String(expected)}`);
  }
});

// Guards against a share recomputed that is taken from wrong counts of new tokens.
test('tokens are new only once', (t) => {
  const seen = new Set<string>();
  let returned = 0;
  for (const { parts, newTokens, tokens } of generateWorkload(DEPLOYMENT, 5, 1, DURATION_MS)) {
    const fresh = parts.filter(({ name }) => !seen.has(name));
    t.is(
      newTokens,
      fresh.reduce((sum, part) => sum + part.tokens, 0),
    );
    for (const { name } of parts) seen.add(name);
    returned += tokens - newTokens;
  }
  t.true(returned > 0);
});

// Guards against prompts that do not share their pieces with the earlier turn of the conversation.
test('a return begins with the text of the earlier prompt', (t) => {
  const pieces = [
    { name: 'a/scripts+0', tokens: 2_000 },
    { name: 'a/scripts/1+1', tokens: 2_000 },
  ];
  const prompt = buildPrompt(pieces);
  t.is(prompt.length, 16_000);
  t.true(buildPrompt([...pieces, { name: 'a/scripts/1?1', tokens: 50 }]).startsWith(prompt));
});
