import { readMonotonicMs, runEvery } from '@laburnumshift/clock';
import type { RunContext } from './run-context.js';

const PAUSE_MS = 150;
const LIMIT_MS = 1_000;
const GAUGE = /config_generation(?:\{[^}]*\})? (\d+)/;

/** Records the generation in force on each running node again and again until the returned function is called. */
export function watchGenerations(context: RunContext): () => void {
  const recordNodes = async (): Promise<void> => {
    await Promise.all(
      context.fleet.listRunning().map(async ({ life, process }) => {
        const atMs = readMonotonicMs();
        const text = await fetch(`${process.operatorsUrl}/metrics`, { signal: AbortSignal.timeout(LIMIT_MS) })
          .then((answer) => answer.text())
          .catch(() => '');
        const generation = GAUGE.exec(text)?.[1];
        if (generation === undefined) return;
        context.generations.push({ node: life.node, atMs, generation: Number(generation) });
      }),
    );
  };
  return runEvery(PAUSE_MS, recordNodes, () => undefined);
}
