import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import type { Balancer } from './balancer.js';
import { createLoadSender } from './create-load-sender.js';
import type { LoadRequest } from './load-request.js';
import type { RequestRecord } from './request-record.js';

/** Sends a workload at its times, whatever the answers do, and waits for the last one. */
export async function runLoad(
  workload: readonly LoadRequest[],
  balancer: Balancer,
): Promise<readonly RequestRecord[]> {
  const sender = createLoadSender(balancer);
  const startedAtMs = readMonotonicMs();
  const sent: Promise<RequestRecord>[] = [];
  for (const request of workload) {
    const waitMs = startedAtMs + request.atMs - readMonotonicMs();
    if (waitMs > 0) await sleep(waitMs);
    sent.push(sender.sendRequest(request));
  }
  const records = await Promise.all(sent);
  sender.close();
  return records;
}
