import { createHomeClient, PLACEMENT_TIMING } from '@laburnumshift/ask-home';
import { MESSAGE_KINDS, type HostChannel, type HostMessage } from '@laburnumshift/host-channel';
import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';
import { createPlacementRequest } from './fixtures.js';

const HOMES = ['one', 'two'].map((host, index) => ({
  host,
  failureDomain: 'a',
  address: `10.0.0.${String(index)}:1`,
  size: 1,
}));
const createFixture = (t: ExecutionContext, homes = HOMES) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const sent: { readonly to: string; readonly number: number }[] = [];
  const silent: string[] = [];
  let reply: Parameters<HostChannel['handleMessages']>[1] = () => false;
  const client = createHomeClient({
    channel: {
      sendMessage: ([to = ''], message: HostMessage) => sent.push({ to, number: Number(message[3]) }),
      handleMessages: (_, handler) => {
        reply = handler;
      },
    },
    host: 'self',
    bornMs: 1,
    listHomes: () => homes,
    onTimeout: (host) => silent.push(host),
  });
  const ask = (controller = new AbortController()) => {
    const answers: unknown[] = [];
    void client.askHome(createPlacementRequest(), controller.signal).then((answer) => answers.push(answer));
    return answers;
  };
  const replyTo = (number: number, body: unknown): boolean =>
    reply([MESSAGE_KINDS.placementAnswer, 'one', 1, number, body], '10.0.0.0:1');
  return { clock, client, sent, silent, ask, replyTo };
};

test.serial(
  'a home host that does not answer delays one call by the answer timeout, and the next home host is asked afterwards',
  async (t) => {
    const { clock, sent, silent, ask } = createFixture(t);
    const answers = ask();
    await clock.tickAsync(PLACEMENT_TIMING.answerTimeoutMs - 1);
    t.deepEqual(answers, []);
    await clock.tickAsync(1);
    t.deepEqual(answers, [undefined]);
    t.deepEqual(silent, ['one']);
    ask();
    t.is(sent.at(-1)?.to, HOMES[1]?.address);
    await clock.tickAsync(PLACEMENT_TIMING.answerTimeoutMs);
    t.deepEqual(ask(), []);
    await clock.tickAsync(0);
    t.is(sent.length, 2, 'no home host is asked while both are marked unavailable');
    await clock.tickAsync(PLACEMENT_TIMING.unavailableMs);
    ask();
    t.is(sent.at(-1)?.to, HOMES[0]?.address);
  },
);

test.serial(
  'answers are matched to their placement request out of order, and late or malformed answers are ignored',
  async (t) => {
    const { clock, ask, replyTo } = createFixture(t);
    const [first, second] = [ask(), ask()];
    t.true(replyTo(2, ['refuse', 'no room', 'full', 700]));
    t.true(replyTo(1, ['wait']));
    await clock.tickAsync(0);
    t.deepEqual(
      [first, second],
      [[], [{ kind: 'refuse', cause: 'no room', reason: 'full', retryAfterMs: 700 }]],
    );
    await clock.tickAsync(PLACEMENT_TIMING.maxQueueMs + PLACEMENT_TIMING.queuedAnswerSlackMs);
    t.deepEqual(first, [{ kind: 'wait' }]);
    t.true(replyTo(1, ['refuse', 'no room', 'late', 1]));
    t.true(replyTo(99, ['wait']));
    t.false(replyTo(2, ['nonsense']));
    await clock.tickAsync(1000);
    t.is(first.length, 1);
  },
);

test.serial(
  'a home host that is not ready is not asked again at once and is not reported as silent',
  async (t) => {
    const { clock, sent, ask, replyTo, silent } = createFixture(t);
    const answers = ask();
    replyTo(1, ['unready']);
    await clock.tickAsync(0);
    t.deepEqual(answers, [undefined]);
    t.deepEqual(silent, []);
    ask();
    t.is(sent.at(-1)?.to, HOMES[1]?.address);
  },
);

test.serial('the settled number does not pass the oldest open placement request', async (t) => {
  const { clock, client, ask, replyTo } = createFixture(t);
  t.is(client.getSettledNumber(), 0);
  ask();
  ask();
  t.is(client.getSettledNumber(), 0);
  replyTo(2, ['refuse', 'no room', '', 1]);
  await clock.tickAsync(0);
  t.is(client.getSettledNumber(), 0);
  await clock.tickAsync(PLACEMENT_TIMING.answerTimeoutMs);
  t.is(client.getSettledNumber(), 2);
});

test.serial('an aborted call settles its placement request without an answer', async (t) => {
  const { clock, client, ask } = createFixture(t);
  const controller = new AbortController();
  const answers = ask(controller);
  controller.abort();
  await clock.tickAsync(0);
  t.deepEqual(answers, [undefined]);
  t.is(client.getSettledNumber(), 1);
});

test.serial('guards against an explanation that names a home host that would not be asked', async (t) => {
  const { clock, client, ask, sent } = createFixture(t);
  t.is(client.findHome(), 'one');
  ask();
  await clock.tickAsync(PLACEMENT_TIMING.answerTimeoutMs);
  t.is(client.findHome(), 'two');
  t.is(sent.length, 1);
});
