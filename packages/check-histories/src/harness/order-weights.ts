import { readMonotonicMs, readWallMs, sleep } from '@laburnumshift/clock';
import type { Site } from '@laburnumshift/fakes/site';
import { MODEL } from './model.js';

const DEADLINE_MS = 2_000;
const POLL_MS = 10;

/** Orders a weight version to the engines, one after the other, under the generation as fencing number. */
export async function orderWeights(site: Site, version: string, generation: number): Promise<void> {
  for (const engine of site.engines.values()) {
    const order = {
      order_id: `${String(generation)}-${engine.name}`,
      fencing: generation,
      deadline: readWallMs() + DEADLINE_MS,
      type: 'load_weights',
      model: MODEL,
      version,
    };
    // An engine that cannot be reached keeps its version; requests are routed by the version that it reports.
    await fetch(`${engine.url}/orders`, {
      method: 'POST',
      body: JSON.stringify(order),
      signal: AbortSignal.timeout(DEADLINE_MS),
    }).catch(() => undefined);
    const endMs = readMonotonicMs() + DEADLINE_MS;
    do {
      await sleep(POLL_MS);
    } while (engine.getLoad().loading && readMonotonicMs() < endMs);
  }
}
