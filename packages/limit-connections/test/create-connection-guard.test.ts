import { computeClientLimits, createConnectionGuard } from '@laburnumshift/limit-connections';
import { installClock } from '@laburnumshift/test-utils';
import test from 'ava';

const IDLE_MS = 5000;
const MACHINE = {
  memoryBytes: 200_000_000,
  maxDescriptors: undefined,
  reservedDescriptors: undefined,
  clientMemoryBytes: undefined,
};

/** Creates a guard, and opens connections that list their name and the reason when they are closed. */
const startGuard = (
  limits: { maxDescriptors?: number; maxBytes?: number },
  servers = { open: 0, max: 0 },
) => {
  const closed: string[] = [];
  const guard = createConnectionGuard({
    limits: { maxDescriptors: Infinity, maxBytes: Infinity, ...limits },
    countServerConnections: () => servers,
    getIdleTimeoutMs: () => IDLE_MS,
  });
  const open = (name: string) => guard.openConnection((reason) => closed.push(`${name}: ${reason}`));
  const openWhole = (name: string) => {
    const connection = open(name);
    connection?.beginCall();
    connection?.markWhole();
    return connection;
  };
  return { guard, closed, open, openWhole };
};

test.serial('guards against connections without a request that keep others out', (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const { guard, closed, open, openWhole } = startGuard({ maxDescriptors: 3 });
  openWhole('running');
  open('first');
  open('second');
  t.truthy(open('third'));
  t.deepEqual(closed, ['first: no whole head']);
  t.is(guard.countConnections(), 3);
});

test.serial('guards against a closed connection whose caller may reuse it or waits for its answer', (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const { closed, open, openWhole } = startGuard({ maxDescriptors: 2 });
  openWhole('running');
  const idle = openWhole('idle');
  idle?.setUnreadBytes(16_000);
  idle?.endCall();
  clock.tick(IDLE_MS * 0.8 - 1);
  t.is(open('early'), undefined);
  t.deepEqual(closed, []);
  clock.tick(2);
  t.truthy(open('late'));
  t.deepEqual(closed, ['idle: idle']);
});

test.serial('guards against answers that are not read and keep others out', (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const { closed, open, openWhole } = startGuard({ maxDescriptors: 2 });
  openWhole('unread')?.setUnreadBytes(16_000);
  const slow = openWhole('slow');
  slow?.setUnreadBytes(16_000);
  t.is(open('early'), undefined);
  clock.tick(200);
  slow?.setUnreadBytes(0);
  slow?.setUnreadBytes(16_000);
  clock.tick(100);
  t.truthy(open('late'));
  t.deepEqual(closed, ['unread: answer not read']);
});

test.serial(
  'guards against calls that take the memory that is left, and against refusals without need',
  (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const { guard, closed, open } = startGuard({ maxBytes: 72_000 });
    const [uploading, second, third] = [open('uploading'), open('second'), open('third')];
    t.true(uploading?.beginCall());
    t.true(second?.beginCall());
    second?.markWhole();
    t.is(guard.countBytes(), 64_000);
    t.false(third?.beginCall());
    t.deepEqual(closed, []);
    clock.tick(1000);
    t.true(third?.beginCall());
    t.deepEqual(closed, ['uploading: no whole request']);
    third?.markWhole();
    second?.endCall();
    third?.endCall();
    second?.close();
    third?.close();
    t.is(guard.countBytes(), 0);
  },
);

test.serial('guards against connections that take the memory for calls', (t) => {
  const { closed, open } = startGuard({ maxBytes: 64_000 });
  const names = ['a', 'b', 'c', 'd', 'e'];
  t.true(names.map(open).at(-1)?.beginCall());
  t.deepEqual(closed, ['a: no whole head']);
});

test.serial('guards against callers that take the descriptors of the connections to backend servers', (t) => {
  const { closed, open } = startGuard({ maxDescriptors: 4 }, { open: 0, max: 10 });
  const [, , third, fourth] = ['a', 'b', 'c', 'd'].map(open);
  t.deepEqual(closed, ['a: no whole head']);
  t.true(third?.beginCall());
  t.true(fourth?.beginCall());
  t.deepEqual(closed, ['a: no whole head', 'b: no whole head']);
});

test.serial('guards against limits that callers of earlier deployments reach', (t) => {
  t.is(computeClientLimits(MACHINE).maxDescriptors, Infinity);
  t.is(computeClientLimits({ ...MACHINE, maxDescriptors: 4100 }).maxDescriptors, 4100 - 257);
  t.is(computeClientLimits({ ...MACHINE, maxDescriptors: 300 }).maxDescriptors, 252);
  t.is(
    computeClientLimits({ ...MACHINE, maxDescriptors: 300, reservedDescriptors: 100 }).maxDescriptors,
    200,
  );
  const { openWhole } = startGuard(computeClientLimits(MACHINE));
  const opened = Array.from({ length: 3800 }, (_, index) => openWhole(String(index)));
  t.true(opened.every((connection) => connection !== undefined));
});
