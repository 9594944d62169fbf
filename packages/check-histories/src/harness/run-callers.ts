import { readWallMs, sleep } from '@laburnumshift/clock';
import type { CallerResult } from '../history/caller-result.js';
import { pickTarget } from '../faults/pick-target.js';
import type { Schedule } from '../schedule/schedule.js';
import { ACCOUNTS } from './accounts.js';
import { PROMPTS } from './prompts.js';
import type { RunContext } from './run-context.js';
import { sendBooking } from './send-booking.js';
import { sendCompletion } from './send-completion.js';
import { SERVICES } from './services.js';

/** Ids that several accounts use at once. */
const SHARED_IDS = 8;

/** Runs the callers of a schedule to the end of their last operation. */
export async function runCallers(context: RunContext, schedule: Schedule): Promise<void> {
  const completions = schedule.completions.map(async (step, index) => {
    await sleep(step.atMs);
    const account = pickTarget(ACCOUNTS, step.account);
    const shared = `shared-${String(index % SHARED_IDS)}`;
    const call = {
      account,
      service: pickTarget(SERVICES.completions, step.service),
      key: step.sharedId ? shared : `request-${String(index)}`,
      prompt: pickTarget(PROMPTS, step.prompt),
      maxTokens: step.maxTokens,
    };
    let earlier: readonly string[] = [];
    const send = async (node: number): Promise<{ readonly result: CallerResult } | undefined> => {
      const sent = await sendCompletion(context, node, call, earlier);
      // A caller whose connection was cut goes on where the answer ended.
      if (sent?.result.kind === 'cut') earlier = sent.tokens;
      return sent;
    };
    await sendTwice(send, step.node, step.resend === null ? [] : [step.resend]);
  });
  const bookings = schedule.bookings.map(async (step, index) => {
    await sleep(step.atMs);
    const key = `booking-${String(index)}`;
    const call = {
      account: pickTarget(ACCOUNTS, step.account),
      service: pickTarget(SERVICES.bookings, step.service),
      key,
      issuedAtMs: readWallMs(),
      body: JSON.stringify({ key, seats: step.account }),
    };
    await sendTwice((node) => sendBooking(context, node, call), step.node, step.resends);
  });
  await Promise.all([...completions, ...bookings]);
}

/** Sends at once, after the times of the resends, and once more through another node when the first has no final answer. */
async function sendTwice(
  send: (node: number) => Promise<{ readonly result: CallerResult } | undefined>,
  node: number,
  resends: Schedule['bookings'][number]['resends'],
): Promise<void> {
  const first = send(node).then(async (sent) => {
    const result = sent?.result;
    const isFinal = result?.kind === 'answered' || (result?.kind === 'refused' && result.outcome === 'ran');
    if (!isFinal) await send(node + 1);
  });
  const others = resends.map(async (resend) => {
    await sleep(resend.afterMs);
    await send(resend.node);
  });
  await Promise.all([first, ...others]);
}
