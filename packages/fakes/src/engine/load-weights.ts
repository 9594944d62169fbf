import { sleep } from '@laburnumshift/clock';
import { callHttp } from './call-http.js';
import { createLimit } from './create-limit.js';
import type { EngineState } from './engine-state.js';

/** Pause before the weight store is asked again when it names none. */
const RETRY_MS = 100;

/** Time after which a load is given up when the weight store does not answer. */
const ASK_LIMIT_MS = 10_000;

async function waitForStore(retryAfterMs: string | string[] | undefined, signal: AbortSignal): Promise<void> {
  const pause = Number(retryAfterMs ?? RETRY_MS);
  await sleep(Number.isFinite(pause) ? pause : RETRY_MS, signal);
}

/** Asks the weight store until it grants the weights; false when it does not have them or does not answer. */
async function askWeightStore(
  state: EngineState,
  model: string,
  version: string,
  signal: AbortSignal,
): Promise<boolean> {
  const { platformUrl } = state.settings;
  if (platformUrl === undefined) return true;
  const url = `${platformUrl}/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
  const limit = createLimit(ASK_LIMIT_MS, signal);
  let granted: boolean | undefined;
  while (granted === undefined && !limit.signal.aborted) {
    const answer = await callHttp(state.agent, 'GET', url, limit.signal).catch(() => undefined);
    if (answer?.status === 200) granted = true;
    else if (answer?.status === 404) granted = false;
    else await waitForStore(answer?.headers['retry-after-ms'], limit.signal);
  }
  limit.stop();
  return granted ?? false;
}

/** Loads weights: no run starts meanwhile, runs in progress keep their version, and the cache is emptied. */
export async function loadWeights(state: EngineState, model: string, version: string): Promise<void> {
  const { boot, settings } = state;
  const { signal } = boot.stopper;
  state.loading = true;
  boot.slots.setPaused(true);
  const granted = await askWeightStore(state, model, version, signal);
  if (granted) await settings.loadGroup.runLoad(settings.loadMs, signal);
  if (signal.aborted) return;
  if (granted) {
    state.model = model;
    state.weightVersion = version;
    boot.cache.clearBlocks();
  }
  state.loading = false;
  boot.slots.setPaused(false);
}
