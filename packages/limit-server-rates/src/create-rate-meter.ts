import { readMonotonicMs } from '@laburnumshift/clock';
import type { RateMeter } from './rate-meter.js';

/** Time after which a call counts a third of a new one, milliseconds: several periods of the messages that carry the rates. */
const DECAY_MS = 2000;
const MS_PER_S = 1000;

/** Creates a meter without calls. */
export function createRateMeter(): RateMeter {
  const rates = new Map<string, { perS: number; atMs: number }>();
  const updateRate = (service: string): { perS: number; atMs: number } => {
    const now = readMonotonicMs();
    const rate = rates.get(service) ?? { perS: 0, atMs: now };
    const decayed = { perS: rate.perS * Math.exp((rate.atMs - now) / DECAY_MS), atMs: now };
    rates.set(service, decayed);
    return decayed;
  };
  return {
    recordCall: (service) => {
      updateRate(service).perS += MS_PER_S / DECAY_MS;
    },
    getRate: (service) => updateRate(service).perS,
  };
}
