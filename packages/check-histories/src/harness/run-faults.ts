import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { FAULT_TABLE } from '../faults/fault-table.js';
import type { FaultHandler } from '../faults/fault-handler.js';
import { pickTarget } from '../faults/pick-target.js';
import type { Schedule } from '../schedule/schedule.js';
import { ACCOUNTS } from './accounts.js';
import type { RunContext } from './run-context.js';
import { sendCompletion } from './send-completion.js';

/** Text on which an engine crashes. */
const CRASH_TEXT = 'crash the engine';
const CRASH_SENDS = 3;
/** Tokens of the answer to the request that crashes engines. */
const CRASH_TOKENS = 4;

/** Injects the faults of a schedule and takes each back; also restarts nodes and lets servers leave. */
export async function runFaults(context: RunContext, schedule: Schedule, endMs: number): Promise<void> {
  const { site, fleet } = context;
  for (const engine of site.engines.values()) engine.setFaults({ crashMarker: CRASH_TEXT });
  const faults = schedule.faults.map(async ({ atMs, durationMs, name, target }, index) => {
    await sleep(atMs);
    const crashing: Promise<void>[] = [];
    const inject: FaultHandler = FAULT_TABLE[name];
    const undo = await inject({
      site,
      fleet,
      target,
      beginOutage: (part) => {
        const startMs = readMonotonicMs();
        return () => {
          context.outages.push({ part, startMs, endMs: readMonotonicMs() });
        };
      },
      sendCrashingRequest: () => {
        crashing.push(sendCrashing(context, target, index));
      },
    });
    await sleep(durationMs);
    await undo();
    await Promise.all(crashing);
  });
  const restarts = schedule.restarts.map(async ({ atMs, node }) => {
    await sleep(atMs);
    await fleet.restartNode(node);
  });
  const leavings = schedule.leavings.map(async ({ atMs, target, by }) => {
    await sleep(atMs);
    const servers = [...site.engines.keys(), ...site.services.keys()];
    const server = pickTarget(servers, target);
    const startMs = readMonotonicMs();
    site.setLeaving(server, true);
    if (by === 'server') {
      site.engines.get(server)?.setFaults({ leaving: true });
      await site.services.get(server)?.setFaults({ leaving: true });
    }
    context.leavings.push({ server, startMs, endMs: Infinity });
  });
  await Promise.all([sleep(endMs), ...faults, ...restarts, ...leavings]);
}

/** Sends the request again after each failure, as its caller would. */
async function sendCrashing(context: RunContext, target: number, index: number): Promise<void> {
  const account = pickTarget(ACCOUNTS, target);
  for (let send = 0; send < CRASH_SENDS; send += 1) {
    const sent = await sendCompletion(context, target + send, {
      account,
      service: 'ask',
      key: `crash-${String(index)}-${String(send)}`,
      prompt: `${CRASH_TEXT} ${String(index)}`,
      maxTokens: CRASH_TOKENS,
    });
    if (sent?.result.kind === 'answered') return;
  }
}
