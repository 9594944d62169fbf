import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import type { BackendEntry, EngineControl, ProbeResult } from '@laburnumshift/forward-types';
import { createLogger } from '@laburnumshift/logger';
import type { BrokenCall } from './broken-call.js';
import type { CrashDetector } from './crash-detector.js';
import type { ServerCrash } from './server-crash.js';

/** Interval between probes of a server that does not answer, milliseconds. */
const PROBE_INTERVAL_MS = 200;
/** Time after which a server that does not answer counts as unreachable instead of crashed, milliseconds. */
const CONFIRM_TIMEOUT_MS = 5000;
/** Time for which further broken calls are added to a crash, milliseconds: hosts notice broken connections one by one. */
const COLLECT_MS = 2000;
/** Maximum number of servers under examination; further ones are ignored until earlier ones are settled. */
const MAX_CASES = 1024;

interface Case {
  readonly bornMs: number;
  readonly atMs: number;
  readonly calls: BrokenCall[];
  state: 'examined' | 'crashed' | 'alive';
}

type Finding = Case['state'];

const PROBE_FINDINGS: Readonly<
  Record<ProbeResult['kind'], (result: ProbeResult, bornMs: number) => Finding>
> = {
  gone: () => 'crashed',
  silent: (result) => (result.kind === 'silent' && result.isRefused ? 'crashed' : 'examined'),
  alive: (result, bornMs) =>
    result.kind === 'alive' && bornMs > 0 && (result.bornMs ?? bornMs) > bornMs ? 'crashed' : 'alive',
};

/**
 * Creates the crash detector of one host. A server counts as crashed when calls to it break off and a probe then finds that its process
 * has ended: connections are refused, or another process answers at its address.
 *
 * @param isLeaving whether a server has announced that it is leaving; the end of such a server is no crash
 * @param onCrash called with each confirmed crash, and again with calls whose failure is noticed later
 */
export function createCrashDetector(
  probeServer: EngineControl['probeServer'],
  isLeaving: (server: BackendEntry) => boolean,
  onCrash: (crash: ServerCrash) => void,
): CrashDetector {
  const logger = createLogger('crashes');
  const cases = new Map<string, Case>();

  const reportCrash = (
    { id, service }: BackendEntry,
    { bornMs, atMs }: Case,
    calls: readonly BrokenCall[],
  ): void => {
    onCrash({ server: id, service, bornMs, atMs, calls });
  };
  const confirmCrash = async (server: BackendEntry, examined: Case): Promise<void> => {
    while (examined.state === 'examined' && readMonotonicMs() - examined.atMs < CONFIRM_TIMEOUT_MS) {
      const result = await probeServer(server);
      examined.state = PROBE_FINDINGS[result.kind](result, server.bornMs);
      if (examined.state === 'examined') await sleep(PROBE_INTERVAL_MS);
    }
    if (examined.state === 'crashed') {
      logger.warn('server crashed', {
        server: server.id,
        service: server.service,
        address: server.address,
        brokenCalls: examined.calls.map(({ callId, traits, isExonerated }) =>
          isExonerated ? { request: callId } : { request: callId, traits: traits.map(({ trait }) => trait) },
        ),
      });
      reportCrash(server, examined, examined.calls);
    } else if (examined.state === 'examined')
      logger.info('server with broken calls does not answer', { server: server.id });
    await sleep(COLLECT_MS);
    if (cases.get(server.id) === examined) cases.delete(server.id);
  };

  return {
    recordBrokenCall: (server, call) => {
      if (isLeaving(server)) return;
      const known = cases.get(server.id);
      if (known?.bornMs === server.bornMs) {
        if (known.state === 'crashed') reportCrash(server, known, [call]);
        else if (known.state === 'examined') known.calls.push(call);
        return;
      }
      if (cases.size >= MAX_CASES) return;
      const examined: Case = {
        bornMs: server.bornMs,
        atMs: readMonotonicMs(),
        calls: [call],
        state: 'examined',
      };
      cases.set(server.id, examined);
      confirmCrash(server, examined).catch((error: unknown) => {
        cases.delete(server.id);
        logger.error('examining a server failed', { server: server.id, detail: String(error) });
      });
    },
  };
}
