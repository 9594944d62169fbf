import { randomUUID } from 'node:crypto';
import { readWallMs } from '@laburnumshift/clock';
import type { FakeEngine } from '@laburnumshift/fakes/engine';
import { MODEL } from '../harness/model.js';

const DEADLINE_MS = 2_000;

/** Orders a weight version to an engine beside the nodes, under the fencing number that it knows. */
export async function orderWeights(engine: FakeEngine, version: string): Promise<void> {
  const order = {
    order_id: randomUUID(),
    fencing: engine.getLoad().last_fencing,
    deadline: readWallMs() + DEADLINE_MS,
    type: 'load_weights',
    model: MODEL,
    version,
  };
  // An engine that another fault has made unreachable keeps its version.
  await fetch(`${engine.url}/orders`, {
    method: 'POST',
    body: JSON.stringify(order),
    signal: AbortSignal.timeout(DEADLINE_MS),
  }).catch(() => undefined);
}
