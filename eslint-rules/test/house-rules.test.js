import test from 'ava';
import { RuleTester } from 'eslint';
import tseslint from 'typescript-eslint';
import { houseRules } from '../index.js';

RuleTester.describe = (_name, run) => run();
RuleTester.it = (_name, run) => run();
const tester = new RuleTester({ languageOptions: { parser: tseslint.parser } });

const cases = {
  'function-verbs': {
    valid: ['function readFile() {}', 'const sendCall = () => 1;'],
    invalid: [
      { code: 'function fileReader() {}', errors: 1 },
      { code: 'const caller = () => 1;', errors: 1 },
    ],
  },
  'no-default-clock': {
    valid: ['readWallMs();', 'new Date(5);'],
    invalid: [
      { code: 'Date.now();', errors: 1 },
      { code: 'setTimeout(f, 1);', errors: 1 },
      { code: 'new Date();', errors: 1 },
    ],
  },
  'no-enums': { valid: ['const A = { b: 1 };'], invalid: [{ code: 'enum A { b }', errors: 1 }] },
  'one-export': {
    valid: ['export const a = 1;'],
    invalid: [{ code: 'export const a = 1; export const b = 1;', errors: 1 }],
  },
};

for (const [name, { valid, invalid }] of Object.entries(cases)) {
  // Guards against a rule that reports nothing.
  test(name, (t) => {
    t.notThrows(() => tester.run(name, houseRules.rules[name], { valid, invalid }));
  });
}
