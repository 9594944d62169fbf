import { createReservationTable, servePlacementRequests } from '@laburnumshift/ask-home';
import { buildRefusal, REFUSAL_CAUSES, type ServerChoice } from '@laburnumshift/choose-server';
import { MESSAGE_KINDS, type HostChannel } from '@laburnumshift/host-channel';
import test from 'ava';
import { encodePlacementRequest } from '../src/encode-placement-request.js';
import { createChoice, createPlacementRequest } from './fixtures.js';

const SERVER = createChoice('e', { uncachedTokens: 7, version: 1 });
const createFixture = (changes: Partial<Parameters<typeof servePlacementRequests>[0]> = {}) => {
  const sent: unknown[][] = [];
  const accounts: (string | undefined)[] = [];
  const held: ((choice: ServerChoice) => void)[] = [];
  const reservations = createReservationTable();
  const state: { choice: ServerChoice } = { choice: SERVER };
  let handle: Parameters<HostChannel['handleMessages']>[1] = () => false;
  servePlacementRequests({
    channel: {
      sendMessage: ([to], message) => sent.push([to, ...message]),
      handleMessages: (_, handler) => {
        handle = handler;
      },
    },
    host: 'home',
    bornMs: 3,
    reservations,
    placementQueue: {
      submitPlacementRequest: ({ account }, onChoice) => {
        accounts.push(account);
        if (state.choice.kind === 'wait') held.push(onChoice);
        else onChoice(state.choice);
        return state.choice.kind === 'wait';
      },
      countQueued: () => held.length,
    },
    isReady: () => true,
    isRegistered: (host, address) => host === 'h' && address === '10.0.0.9:1',
    ...changes,
  });
  const ask = (
    number: unknown,
    host: unknown = 'h',
    body: unknown = encodePlacementRequest(createPlacementRequest()),
    ...rest: unknown[]
  ): boolean => handle([MESSAGE_KINDS.placementRequest, host, 2, number, body, ...rest], '10.0.0.9:1');
  const listBodies = (): unknown[] => sent.map((message) => message.at(-1));
  return { ask, sent, accounts, held, reservations, state, listBodies };
};

test('a placed call counts as load of its server from the answer on', (t) => {
  const { ask, sent, reservations } = createFixture();
  t.true(ask(1));
  t.deepEqual(sent[0]?.slice(0, 5), ['10.0.0.9:1', MESSAGE_KINDS.placementAnswer, 'home', 3, 1]);
  t.deepEqual(reservations.getLoad('e'), { inFlight: 1, pendingTokens: 7, heldTokens: 0 });
});

test('a queued placement request gets the answer wait first and its server later', (t) => {
  const { ask, held, reservations, state, listBodies } = createFixture();
  state.choice = { kind: 'wait' };
  ask(1);
  t.deepEqual(listBodies(), [['wait']]);
  t.is(reservations.getLoad('e').inFlight, 0);
  held[0]?.(SERVER);
  t.is((listBodies()[1] as unknown[])[0], 'server');
  t.is(reservations.getLoad('e').inFlight, 1);
});

test('a refusal is answered with its cause and retry time', (t) => {
  const { ask, state, listBodies } = createFixture();
  state.choice = buildRefusal(REFUSAL_CAUSES.allPaused, 1500);
  ask(1);
  t.deepEqual(listBodies(), [['refuse', REFUSAL_CAUSES.allPaused, REFUSAL_CAUSES.allPaused, 1500]]);
});

test('an unknown host gets no server, and a home host that is not ready gives none', (t) => {
  const { ask, listBodies, reservations } = createFixture();
  ask(1, 'stranger');
  t.deepEqual(listBodies(), [['unready']]);
  const unready = createFixture({ isReady: () => false });
  unready.ask(1);
  t.deepEqual(unready.listBodies(), [['unready']]);
  t.is(reservations.getLoad('e').inFlight, 0);
});

test('a malformed placement request gets no answer', (t) => {
  const { ask, sent } = createFixture();
  t.false(ask('x'));
  t.false(ask(1, 7));
  t.false(ask(1, 'h', ['c']));
  t.deepEqual(sent, []);
});

test('a request without a valid account, as hosts of earlier versions send it, is placed all the same', (t) => {
  const { ask, accounts } = createFixture();
  const body = encodePlacementRequest(createPlacementRequest());
  t.true(ask(1));
  t.true(ask(2, 'h', body, null));
  t.true(ask(3, 'h', body, 7));
  t.true(ask(4, 'h', body, 'a'));
  t.deepEqual(accounts, [undefined, undefined, undefined, 'a']);
});
