import { randomInt } from 'node:crypto';
import {
  computeElapsedMs,
  createEarliestTimer,
  moveMoment,
  readMoment,
  readMonotonicMs,
  type Moment,
} from '@laburnumshift/clock';
import { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import { createLogger } from '@laburnumshift/logger';
import type { ConfigFloor } from './config-floor.js';
import type { ConfigFloorOptions } from './config-floor-options.js';
import { FLOOR_MESSAGE_SCHEMA } from './floor-message-schema.js';

/** Interval between two questions, and time for which they are repeated without an answer, milliseconds. */
const SEND_INTERVAL_MS = 200;
const SEND_DURATION_MS = 1000;
/** Least number of questions to each host, as datagrams get lost. */
const MIN_ROUNDS = 2;
/** Longest time for which a host that starts waits for the answer of another one, milliseconds. */
const START_WAIT_MS = 800;
/** Number of questions whose answers are still taken: those of two restores. */
const MAX_QUESTIONS = 16;
/** Bound of the numbers of questions, which are drawn at random so that the answer to an earlier process has none of this one. */
const MAX_QUESTION_NUMBER = 2 ** 47;

/**
 * Asks other hosts which version of the configuration they know, when this host starts and after each restore of the store, and answers
 * them.
 */
export function createConfigFloor(options: ConfigFloorOptions): ConfigFloor {
  const { self, channel, listPeers, getPlan, era, isFirstStart, getConfigVersion, getConfigAgeMs } = options;
  const logger = createLogger('config');
  const startedMs = readMonotonicMs();
  /** Highest version that this host or another one knew at a restore; 0 without any. */
  let floor = 0;
  /** Latest time at which another host had the version of this one confirmed by the store. */
  let confirmedAt: Moment | undefined;
  /** When the last questions were sent, by number. */
  const questions = new Map<number, Moment>();
  let isAnswered = false;
  let sendUntilMs = -Infinity;
  let rounds = 0;

  const isWaiting = (): boolean =>
    !isFirstStart &&
    !isAnswered &&
    era.getAgeMs() < Infinity &&
    listPeers().length > 0 &&
    readMonotonicMs() - startedMs < START_WAIT_MS;
  const isBehind = (): boolean => isWaiting() || (getConfigVersion() ?? 0) < floor;
  const listReceivers = (): readonly string[] => {
    const plan = getPlan();
    // A relay tells the hosts of its failure domain, which reach other failure domains only through it.
    const relayed = plan.isRelay
      ? [
          ...listPeers().filter(({ failureDomain }) => failureDomain === self.failureDomain),
          ...plan.otherRelays,
        ]
      : plan.reportTo;
    return [...new Set(relayed.map(({ address }) => address))];
  };
  const sendVersion = (addresses: readonly string[], isQuestion: boolean, question: number): void => {
    const version = Math.max(floor, isWaiting() ? 0 : (getConfigVersion() ?? 0));
    const ageMs = isBehind() ? Infinity : getConfigAgeMs();
    channel.sendMessage(addresses, [
      MESSAGE_KINDS.configFloor,
      self.host,
      version,
      Number.isFinite(ageMs) ? ageMs : null,
      isQuestion,
      question,
    ]);
  };
  const sendQuestion = (): void => {
    const question = randomInt(MAX_QUESTION_NUMBER);
    questions.set(question, readMoment());
    const [oldest] = questions.keys();
    if (questions.size > MAX_QUESTIONS && oldest !== undefined) questions.delete(oldest);
    sendVersion(listReceivers(), true, question);
  };
  const timer = createEarliestTimer(() => {
    sendQuestion();
    rounds += 1;
    if (readMonotonicMs() < sendUntilMs && (rounds < MIN_ROUNDS || !isAnswered))
      timer.schedule(SEND_INTERVAL_MS);
  });
  const startSending = (): void => {
    sendUntilMs = readMonotonicMs() + SEND_DURATION_MS;
    rounds = 0;
    timer.schedule(0);
  };
  const applyVersion = (version: number, host: string): void => {
    if (version <= floor) return;
    floor = version;
    const known = getConfigVersion();
    if ((known ?? 0) >= version) return;
    logger.warn('another host knows a newer configuration from before the restore', { version, known, host });
    if (getPlan().isRelay) startSending();
  };
  era.watchRestores(() => {
    applyVersion(getConfigVersion() ?? 0, self.host);
    startSending();
  });
  channel.handleMessages(MESSAGE_KINDS.configFloor, (raw, from) => {
    const message = FLOOR_MESSAGE_SCHEMA.safeParse(raw).data;
    if (message === undefined) return false;
    const [, host, version, ageMs, isQuestion, question] = message;
    // A host that has just started may not be registered yet; the answer tells it nothing but a number.
    if (isQuestion && !isWaiting()) sendVersion([from], false, question);
    if (!listPeers().some((peer) => peer.host === host && peer.address === from)) return true;
    isAnswered ||= !isQuestion;
    // Without a restore, a host that starts may only be some milliseconds behind.
    const isNews = era.getAgeMs() < Infinity;
    if (isNews) applyVersion(version, host);
    // A message may have waited while this host was suspended or busy, so only the time of its own question bounds the age of an answer.
    const askedAt = isQuestion ? undefined : questions.get(question);
    // A confirmation of another version says nothing about the one of this host.
    if (askedAt === undefined || ageMs === null || version !== getConfigVersion()) return true;
    const confirmed = moveMoment(askedAt, -ageMs);
    if (confirmedAt === undefined || computeElapsedMs(confirmed) < computeElapsedMs(confirmedAt))
      confirmedAt = confirmed;
    return true;
  });
  if (!isFirstStart) startSending();

  return {
    isBehind,
    getAgeMs: () => {
      if (isBehind()) return Infinity;
      const ownMs = getConfigAgeMs();
      return confirmedAt === undefined ? ownMs : Math.min(ownMs, computeElapsedMs(confirmedAt));
    },
    close: timer.close,
  };
}
