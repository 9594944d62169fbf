import { waitWithTimeout } from '@laburnumshift/clock';
import type { EngineClient } from '@laburnumshift/types';

/** An engine that is alive reports its load within milliseconds; a longer timeout would delay the resumed stream. */
const PROBE_TIMEOUT_MS = 500;

/**
 * Reads the load of an engine on a new connection to find out why its stream failed. The engine counts as crashed when it
 * refuses connections or reports another boot id than before the failure, and as unreachable when it does not answer
 * within 500 ms or the load cannot be read for another reason.
 *
 * @param knownBootId boot id before the failure; without one an engine that answers counts as alive
 */
export async function probeEngine(
  engine: EngineClient,
  knownBootId: string | undefined,
): Promise<{ readonly state: 'alive' | 'crashed' | 'unreachable'; readonly bootId?: string | undefined }> {
  const load = await waitWithTimeout(
    engine.readLoad().catch(() => undefined),
    PROBE_TIMEOUT_MS,
  );
  if (load === undefined) return { state: 'unreachable' };
  if (load.ok) {
    const bootId = load.value.boot_id;
    return { state: knownBootId === undefined || bootId === knownBootId ? 'alive' : 'crashed', bootId };
  }
  const refused = load.error.kind === 'unreachable' && /ECONNREFUSED|refused/i.test(load.error.detail);
  return { state: refused ? 'crashed' : 'unreachable' };
}
