import { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import { decodeQuestion } from './decode-question.js';
import { encodeAnswer } from './encode-answer.js';
import { estimateWork } from './estimate-work.js';
import type { PlacementAnswer } from './placement-answer.js';
import type { ServeQuestionsOptions } from './serve-questions-options.js';

/**
 * Answers the placement questions of other hosts. Each placed call counts as load of its server until the load report of its host
 * includes it. Malformed questions get no answer.
 */
export function serveQuestions(options: ServeQuestionsOptions): void {
  const { channel, host, bornMs, placementQueue: desk, reservations: grants } = options;

  channel.handleMessages(MESSAGE_KINDS.placementQuestion, ([, sender, senderBornMs, number, body], from) => {
    const question = decodeQuestion(body);
    const isValid =
      typeof sender === 'string' && typeof senderBornMs === 'number' && typeof number === 'number';
    if (question === undefined || !isValid) return false;
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
    const isQueued = desk.submitQuestion(question, (choice) => {
      if (choice.kind !== 'server') {
        sendAnswer(choice);
        return;
      }
      grants.addReservation(sender, senderBornMs, number, choice.server.id, estimateWork(question, choice));
      const { server, ...rest } = choice;
      sendAnswer({ ...rest, server: server.id, bornMs: server.bornMs });
    });
    if (isQueued) sendAnswer({ kind: 'wait' });
    return true;
  });
}
