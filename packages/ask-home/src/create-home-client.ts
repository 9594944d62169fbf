import { readMonotonicMs, startTimer } from '@laburnumshift/clock';
import type { PlacementRequest } from '@laburnumshift/forward-types';
import { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import type { HomeClientOptions } from './home-client-options.js';
import { decodeAnswer } from './decode-answer.js';
import { encodePlacementRequest } from './encode-placement-request.js';
import type { PlacementAnswer } from './placement-answer.js';
import type { HomeClient } from './home-client.js';
import { PLACEMENT_TIMING } from './placement-timing.js';

interface PendingRequest {
  readonly onAnswer: (answer: PlacementAnswer) => void;
}

/**
 * Creates the client that sends placement requests to the home host. A call waits for an unreachable home host for at most
 * `PLACEMENT_TIMING.answerTimeoutMs`. A home host that did not answer is not asked for `PLACEMENT_TIMING.unavailableMs`, so the loss of a
 * home host delays only a few calls of each host by some milliseconds.
 */
export function createHomeClient(options: HomeClientOptions): HomeClient {
  const { channel, host, bornMs } = options;
  /** Open placement requests by number, in ascending order. */
  const pending = new Map<number, PendingRequest>();
  /** Time until which a home host is not asked, by host, monotonic milliseconds. */
  const unavailableUntilMs = new Map<string, number>();
  let lastNumber = 0;

  channel.handleMessages(MESSAGE_KINDS.placementAnswer, ([, , , answeredNumber, body]) => {
    const answer = decodeAnswer(body);
    if (answer === undefined || typeof answeredNumber !== 'number') return false;
    pending.get(answeredNumber)?.onAnswer(answer);
    return true;
  });
  const markUnavailable = (home: string): void => {
    unavailableUntilMs.set(home, readMonotonicMs() + PLACEMENT_TIMING.unavailableMs);
  };

  const findHome = () => {
    const now = readMonotonicMs();
    return options.listHomes().find((peer) => (unavailableUntilMs.get(peer.host) ?? 0) <= now);
  };

  return {
    findHome: () => findHome()?.host,
    askHome: (request: PlacementRequest, signal: AbortSignal) => {
      const home = findHome();
      if (home === undefined || signal.aborted) return Promise.resolve(undefined);
      lastNumber += 1;
      const requestNumber = lastNumber;
      return new Promise((resolve) => {
        const finish = (answer: PlacementAnswer | undefined): void => {
          stopTimer();
          signal.removeEventListener('abort', handleAbort);
          pending.delete(requestNumber);
          resolve(answer);
        };
        const handleAbort = (): void => {
          finish(undefined);
        };
        let stopTimer = startTimer(PLACEMENT_TIMING.answerTimeoutMs, () => {
          markUnavailable(home.host);
          options.onTimeout(home.host);
          finish(undefined);
        });
        pending.set(requestNumber, {
          onAnswer: (answer) => {
            if (answer.kind !== 'wait') {
              if (answer.kind === 'unready') markUnavailable(home.host);
              finish(answer.kind === 'unready' ? undefined : answer);
              return;
            }
            stopTimer();
            stopTimer = startTimer(PLACEMENT_TIMING.maxQueueMs + PLACEMENT_TIMING.queuedAnswerSlackMs, () => {
              finish(answer);
            });
          },
        });
        signal.addEventListener('abort', handleAbort);
        channel.sendMessage(
          [home.address],
          [
            MESSAGE_KINDS.placementRequest,
            host,
            bornMs,
            requestNumber,
            encodePlacementRequest(request),
            // Outside the body, whose length home hosts of earlier versions check.
            request.account ?? null,
          ],
        );
      });
    },
    getSettledNumber: () => {
      const [first] = pending.keys();
      return first === undefined ? lastNumber : first - 1;
    },
  };
}
