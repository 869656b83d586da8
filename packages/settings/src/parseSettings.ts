import type { Node, ParseError } from 'jsonc-parser';
import {
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
} from 'jsonc-parser';
import type { z } from 'zod';

import { findDeploymentFaults } from './findDeploymentFaults.js';
import type { Settings } from './settingsSchemas.js';
import { settingsSchema } from './settingsSchemas.js';

/** One fault in a settings file. */
export interface SettingsFault {
  /** Dotted path inside the document; empty for the document itself. */
  readonly path: string;
  /** Line in the file, counted from 1. */
  readonly line: number;
  /** What is expected at that place. */
  readonly expected: string;
}

export type SettingsResult =
  | { readonly faults: readonly SettingsFault[]; readonly ok: false }
  | { readonly ok: true; readonly settings: Settings };

type Path = readonly (number | string)[];

const lineAt = (text: string, offset: number): number =>
  text.slice(0, offset).split('\n').length;

/** @returns the deepest existing node on a path; for a missing key, that of its parent */
function nearestNode(root: Node, path: Path): Node {
  const found = findNodeAtLocation(root, [...path]);
  if (found || path.length === 0) {
    return found ?? root;
  }
  return nearestNode(root, path.slice(0, -1));
}

function syntaxFaults(
  text: string,
  errors: readonly ParseError[],
): readonly SettingsFault[] {
  return errors.map(({ error, offset }) => ({
    path: '',
    line: lineAt(text, offset),
    expected: `JSON with comments (${printParseErrorCode(error)})`,
  }));
}

function faultsOfIssue(
  text: string,
  root: Node,
  issue: z.core.$ZodIssue,
): readonly SettingsFault[] {
  const path = issue.path.map(part =>
    typeof part === 'symbol' ? part.toString() : part,
  );
  const faultAt = (at: Path, expected: string): SettingsFault => ({
    path: at.join('.'),
    line: lineAt(text, nearestNode(root, at).offset),
    expected,
  });
  return issue.code === 'unrecognized_keys'
    ? issue.keys.map(key => faultAt([...path, key], 'no such key'))
    : [faultAt(path, issue.message)];
}

/**
 * Parses and checks the content of a settings file.
 *
 * @param text - JSON with comments and trailing commas
 * @returns the settings, or their faults; faults across entities are only looked
 *   for once the schema is satisfied
 */
export function parseSettings(text: string): SettingsResult {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || !root) {
    const notAnObject = [{ path: '', line: 1, expected: 'a JSON object' }];
    return {
      ok: false,
      faults: root ? syntaxFaults(text, errors) : notAnObject,
    };
  }
  const result = settingsSchema.safeParse(getNodeValue(root));
  if (!result.success) {
    const { issues } = result.error;
    return {
      ok: false,
      faults: issues.flatMap(issue => faultsOfIssue(text, root, issue)),
    };
  }
  const deploymentFaults = findDeploymentFaults(result.data).map(
    ({ path, expected }) => ({
      path: path.join('.'),
      line: lineAt(text, nearestNode(root, path).offset),
      expected,
    }),
  );
  return deploymentFaults.length > 0
    ? { ok: false, faults: deploymentFaults }
    : { ok: true, settings: result.data };
}
