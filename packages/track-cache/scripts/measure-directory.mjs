// Measures the time of countPrefix and the memory of an entry. Run by hand after a build:
// node --expose-gc packages/track-cache/scripts/measure-directory.mjs ENGINES
// Each fleet size needs a process of its own, because what an earlier one left behind distorts the memory figures.
import { readMonotonicMs } from '@laburnumshift/clock';
import { createCacheDirectory } from '@laburnumshift/track-cache';

const PIECES = 128;
const PROMPTS = 500;
const ROUNDS = 4;

function buildPrompt(number) {
  // Parsed strings are flat, as those of events are.
  const pieces = Array.from({ length: PIECES }, (_, index) => ({
    chain: `${String(number).padStart(16, '0')}${String(index).padStart(16, 'f')}`,
    tokens: 2_000,
  }));
  return JSON.parse(JSON.stringify(pieces));
}

const engines = Number(process.argv[2] ?? 32);
globalThis.gc();
const before = process.memoryUsage();
const directory = createCacheDirectory();
const names = Array.from({ length: engines }, (_, index) => `engine-${index}`);
const sequence = new Map();
for (let number = 0; number < PROMPTS; number += 1) {
  // Engines hold between none and all pieces, so that prefixes end at many places.
  for (const [order, piece] of buildPrompt(number).entries()) {
    for (let copy = 0; copy < Math.max(1, engines / 4); copy += 1) {
      const engine = names[(number + copy * 3) % engines];
      if (order % (copy + 2) === copy + 1) continue;
      const seq = (sequence.get(engine) ?? 0) + 1;
      sequence.set(engine, seq);
      directory.applyEvent(engine, {
        seq,
        at: 0,
        type: 'stored',
        scope: `scope-${number % 10}`,
        chain: piece.chain,
      });
    }
  }
}
globalThis.gc();
const after = process.memoryUsage();
const bytes = after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers;
const times = [];
for (let round = 0; round < ROUNDS; round += 1) {
  for (let number = 0; number < PROMPTS; number += 1) {
    const pieces = buildPrompt(number);
    const start = readMonotonicMs();
    directory.countPrefix(`scope-${number % 10}`, pieces);
    times.push((readMonotonicMs() - start) * 1_000);
  }
}
times.sort((a, b) => a - b);
const { entries } = directory.getCounts();
const at = (share) => times[Math.floor(times.length * share)].toFixed(1);
console.log(
  `${engines} engines: ${entries} entries, ${Math.round(bytes / entries)} bytes per entry, ` +
    `countPrefix of ${PIECES} pieces: median ${at(0.5)} us, p99 ${at(0.99)} us`,
);
