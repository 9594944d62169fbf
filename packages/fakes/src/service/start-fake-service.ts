import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import type { FakeServiceOptions } from './fake-service-options.js';
import type { FakeService } from './fake-service.js';
import type { ServiceCallRecord } from './service-call-record.js';
import type { FaultServerOptions } from './fault-server-options.js';
import { sendJson } from './send-json.js';
import { startFaultServer } from './start-fault-server.js';

/**
 * Starts a plain service that counts its runs by idempotency key. It answers
 * `{service, method, path, key, runs, body}`, with the runs of this key so far.
 */
export async function startFakeService(options: FakeServiceOptions = {}): Promise<FakeService> {
  const runs = options.runs ?? new Map<string, number>();
  const calls: ServiceCallRecord[] = [];
  let running = 0;
  let peak = 0;

  const handle: FaultServerOptions['handle'] = async (request, response, body, isCurrent) => {
    const arrivedAtMs = readMonotonicMs();
    const faults = server.getFaults();
    if (request.url === '/load') {
      const report = { running, queued: 0, leaving: faults.leaving, boot_id: server.getBootId() };
      sendJson(response, 200, report, server.getBootId());
      return;
    }
    if (faults.leaving) {
      sendJson(response, 503, { error: 'leaving' }, server.getBootId());
      return;
    }
    const dropAnswer = (): void => {
      if (faults.lostBy === 'cut') request.socket.destroy();
    };
    if (server.takeLost('lostBeforeRun')) {
      dropAnswer();
      return;
    }
    running += 1;
    peak = Math.max(peak, running);
    try {
      if (faults.slowMs > 0) await sleep(faults.slowMs);
      if (!isCurrent()) return;
      const key = String(request.headers['idempotency-key'] ?? '');
      const count = (runs.get(key) ?? 0) + 1;
      runs.set(key, count);
      calls.push({ key, arrivedAtMs, ranAtMs: readMonotonicMs() });
      if (server.takeLost('lostAfterRun')) {
        dropAnswer();
        return;
      }
      const answer = { service: options.name ?? 'service', method: request.method, path: request.url };
      sendJson(response, 200, { ...answer, key, runs: count, body }, server.getBootId());
    } finally {
      running -= 1;
    }
  };
  const server = await startFaultServer({ ip: options.ip, port: options.port, handle });
  return {
    url: server.url,
    adminUrl: server.adminUrl,
    getBootId: server.getBootId,
    countRuns: (key) => runs.get(key) ?? 0,
    listRuns: () => runs,
    listCalls: () => [...calls],
    getPeak: () => peak,
    setFaults: server.setFaults,
    close: server.close,
  };
}
