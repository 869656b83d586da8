import type { ExecutionContext } from 'ava';
import test from 'ava';

type Body = (t: ExecutionContext) => Promise<void> | void;

/** Declares tests under a common title. */
export interface Suite {
  /** Declares one test. */
  readonly it: (title: string, body: Body) => void;
  /** Declares a test that runs serially, not concurrently with others of its file. */
  readonly itAlone: (title: string, body: Body) => void;
  /** Declares a nested group. */
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
 * Groups tests under a common title, since ava supports flat titles only.
 *
 * @param title - title of the group
 * @param body - declares the tests and nested groups
 */
export function describe(title: string, body: (suite: Suite) => void): void {
  body(suiteAt([title]));
}
