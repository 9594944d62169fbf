import { waitWithTimeout } from '@laburnumshift/clock';
import type { EngineClient } from '@laburnumshift/types';

/** A live engine answers its load in milliseconds; a longer wait would delay the resumed stream. */
const PROBE_MS = 500;

/**
 * Finds out on a new connection why a stream failed. An engine crashed when it refuses connections or shows another boot id
 * than the one known before the failure.
 */
export async function probeEngine(
  engine: EngineClient,
  knownBootId: string | undefined,
): Promise<{ readonly state: 'alive' | 'crashed' | 'unreachable'; readonly bootId?: string | undefined }> {
  const load = await waitWithTimeout(
    engine.readLoad().catch(() => undefined),
    PROBE_MS,
  );
  if (load === undefined) return { state: 'unreachable' };
  if (load.ok) {
    const bootId = load.value.boot_id;
    return { state: knownBootId === undefined || bootId === knownBootId ? 'alive' : 'crashed', bootId };
  }
  const refused = load.error.kind === 'unreachable' && /ECONNREFUSED|refused/i.test(load.error.detail);
  return { state: refused ? 'crashed' : 'unreachable' };
}
