// Measures the time of countPrefix and the memory per piece. Run by hand after a build:
// node --expose-gc packages/track-cache/scripts/measure-directory.mjs ENGINES
// Run a new process for each number of engines: memory that an earlier measurement left behind distorts the figures.
import { readMonotonicMs } from '@laburnumshift/clock';
import { createCacheDirectory } from '@laburnumshift/track-cache';

const PIECES = 128;
const PROMPTS = 500;
const ROUNDS = 4;

function buildPrompt(promptIndex) {
  // Strings from JSON.parse are flat, as those of received events are.
  const pieces = Array.from({ length: PIECES }, (_, index) => ({
    chain: `${String(promptIndex).padStart(16, '0')}${String(index).padStart(16, 'f')}`,
    tokens: 2_000,
  }));
  return JSON.parse(JSON.stringify(pieces));
}

const engines = Number(process.argv[2] ?? 32);
globalThis.gc();
const memoryBefore = process.memoryUsage();
const directory = createCacheDirectory();
const engineNames = Array.from({ length: engines }, (_, index) => `engine-${index}`);
const lastSeqs = new Map();
for (let promptIndex = 0; promptIndex < PROMPTS; promptIndex += 1) {
  // Each engine has some of the pieces, from none to all, so that the cached prefixes end at different pieces.
  for (const [pieceIndex, piece] of buildPrompt(promptIndex).entries()) {
    for (let copy = 0; copy < Math.max(1, engines / 4); copy += 1) {
      const engine = engineNames[(promptIndex + copy * 3) % engines];
      if (pieceIndex % (copy + 2) === copy + 1) continue;
      const seq = (lastSeqs.get(engine) ?? 0) + 1;
      lastSeqs.set(engine, seq);
      directory.applyEvent(engine, {
        seq,
        at: 0,
        type: 'stored',
        scope: `scope-${promptIndex % 10}`,
        chain: piece.chain,
      });
    }
  }
}
globalThis.gc();
const memoryAfter = process.memoryUsage();
const bytes =
  memoryAfter.heapUsed + memoryAfter.arrayBuffers - memoryBefore.heapUsed - memoryBefore.arrayBuffers;
const times = [];
for (let round = 0; round < ROUNDS; round += 1) {
  for (let promptIndex = 0; promptIndex < PROMPTS; promptIndex += 1) {
    const pieces = buildPrompt(promptIndex);
    const start = readMonotonicMs();
    directory.countPrefix(`scope-${promptIndex % 10}`, pieces);
    times.push((readMonotonicMs() - start) * 1_000);
  }
}
times.sort((a, b) => a - b);
const { entries } = directory.getCounts();
const getQuantile = (share) => times[Math.floor(times.length * share)].toFixed(1);
console.log(
  `${engines} engines: ${entries} entries, ${Math.round(bytes / entries)} bytes per entry, ` +
    `countPrefix of ${PIECES} pieces: median ${getQuantile(0.5)} us, p99 ${getQuantile(0.99)} us`,
);
