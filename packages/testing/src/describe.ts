import type { ExecutionContext } from 'ava';
import test from 'ava';

type Body = (t: ExecutionContext) => Promise<void> | void;

/** Declares tests under a common title. */
export interface Suite {
  /** Declares one test. */
  readonly it: (title: string, body: Body) => void;
  /** Declares a test that must not run beside others of its file. */
  readonly itAlone: (title: string, body: Body) => void;
  /** Opens a nested group. */
  readonly describe: (title: string, body: (suite: Suite) => void) => void;
}

const SEPARATOR = ' › ';

function suiteAt(path: readonly string[]): Suite {
  const full = (title: string): string => [...path, title].join(SEPARATOR);
  return {
    it: (title, body) => {
      test(full(title), body);
    },
    itAlone: (title, body) => {
      test.serial(full(title), body);
    },
    describe: (title, body) => {
      body(suiteAt([...path, title]));
    },
  };
}

/**
 * Groups tests, since the test runner knows only flat titles.
 *
 * @param title - of the group
 * @param body - declares tests and nested groups
 */
export function describe(title: string, body: (suite: Suite) => void): void {
  body(suiteAt([title]));
}
