import { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import { decodePlacementRequest } from './decode-placement-request.js';
import { encodeAnswer } from './encode-answer.js';
import { estimateWork } from './estimate-work.js';
import type { PlacementAnswer } from './placement-answer.js';
import type { ServePlacementRequestsOptions } from './serve-placement-requests-options.js';

/**
 * Answers the placement requests of other hosts. Each placed call counts as load of its server until the load report of its host
 * includes it. Malformed placement requests get no answer.
 */
export function servePlacementRequests(options: ServePlacementRequestsOptions): void {
  const { channel, host, bornMs, placementQueue, reservations } = options;

  channel.handleMessages(MESSAGE_KINDS.placementRequest, (message, from) => {
    const [, sender, senderBornMs, number, body, account] = message;
    const decoded = decodePlacementRequest(body);
    const isValid =
      typeof sender === 'string' && typeof senderBornMs === 'number' && typeof number === 'number';
    if (decoded === undefined || !isValid) return false;
    // Hosts of earlier versions name no account.
    const request = { ...decoded, account: typeof account === 'string' ? account : undefined };
    const sendAnswer = (answer: PlacementAnswer): void => {
      channel.sendMessage(
        [from],
        [MESSAGE_KINDS.placementAnswer, host, bornMs, number, encodeAnswer(answer)],
      );
    };
    if (!options.isReady() || !options.isRegistered(sender, from)) {
      sendAnswer({ kind: 'unready' });
      return true;
    }
    const isQueued = placementQueue.submitPlacementRequest(request, (choice) => {
      if (choice.kind !== 'server') {
        sendAnswer(choice);
        return;
      }
      reservations.addReservation(
        sender,
        senderBornMs,
        number,
        choice.server.id,
        estimateWork(request, choice),
      );
      const { server, ...rest } = choice;
      sendAnswer({ ...rest, server: server.id, bornMs: server.bornMs });
    });
    if (isQueued) sendAnswer({ kind: 'wait' });
    return true;
  });
}
