import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { decideSourceEnd, type SourceEvidence } from '@laburnumshift/continue-runs';
import type { BackendEntry, ProbeResult } from '@laburnumshift/forward-types';
import type { ForwarderDependencies } from './forwarder-dependencies.js';

/** Interval between probes, milliseconds: longer than reports are shared, so that two answers are two reports. */
const PROBE_INTERVAL_MS = 250;

const EVIDENCE: Readonly<
  Record<ProbeResult['kind'], (result: ProbeResult, bornMs: number) => SourceEvidence>
> = {
  gone: () => 'replaced',
  silent: (result) => (result.kind === 'silent' && result.isRefused === true ? 'refused' : 'silent'),
  alive: (result, bornMs) =>
    result.kind === 'alive' && bornMs > 0 && (result.bornMs ?? bornMs) > bornMs ? 'replaced' : 'alive',
};

/**
 * Finds out whether the engine process that had a run has ended, within `boundMs` milliseconds; false when that is not certain. The
 * connection of the run has to be closed before.
 */
export async function confirmSourceEnd(
  deps: Pick<ForwarderDependencies, 'fleet' | 'probeServer'>,
  server: BackendEntry,
  boundMs: number,
  signal: AbortSignal,
): Promise<boolean> {
  const startedMs = readMonotonicMs();
  const evidence: SourceEvidence[] = [];
  while (!signal.aborted) {
    const result = await deps.probeServer(server);
    evidence.push(EVIDENCE[result.kind](result, server.bornMs));
    const entry = deps.fleet.getBackend(server.id);
    const verdict = decideSourceEnd({
      evidence,
      elapsedMs: readMonotonicMs() - startedMs,
      isUnregistered: entry === undefined || entry.bornMs > server.bornMs,
      boundMs,
    });
    if (verdict !== 'ask-again') return verdict === 'ended';
    await sleep(PROBE_INTERVAL_MS, signal);
  }
  return false;
}
