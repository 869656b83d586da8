import type { Deployment, Settings } from './settingsSchemas.js';

/** A fault that concerns several entities. */
interface DeploymentFault {
  /** Path of the entity to correct. */
  readonly path: readonly (number | string)[];
  readonly expected: string;
}

/** Upper limit on the sum of all guaranteed shares. */
const MAX_GUARANTEED_TOTAL = 0.5;

type ListName =
  'backendServers' | 'modelVersions' | 'organisations' | 'requestClasses';

const LISTS: readonly ListName[] = [
  'organisations',
  'requestClasses',
  'modelVersions',
  'backendServers',
];

function duplicateIds(
  deployment: Deployment,
  list: ListName,
): readonly DeploymentFault[] {
  const ids = deployment[list].map(({ id }) => id);
  return ids.flatMap((id, index) =>
    ids.indexOf(id) < index
      ? [{ path: [list, index, 'id'], expected: `an id other than ${id}` }]
      : [],
  );
}

function undeclaredModels(deployment: Deployment): readonly DeploymentFault[] {
  const declared = new Set(deployment.modelVersions.map(({ id }) => id));
  return deployment.backendServers.flatMap((server, index) =>
    server.models.flatMap((model, modelIndex) =>
      declared.has(model)
        ? []
        : [
            {
              path: ['backendServers', index, 'models', modelIndex],
              expected: `a declared model instead of ${model}`,
            },
          ],
    ),
  );
}

function excessGuaranteedShares(
  deployment: Deployment,
): readonly DeploymentFault[] {
  const total = deployment.requestClasses.reduce(
    (sum, { guaranteedShare }) => sum + guaranteedShare,
    0,
  );
  return total <= MAX_GUARANTEED_TOTAL
    ? []
    : [
        {
          path: ['requestClasses'],
          expected: `guaranteed shares that add up to at most ${MAX_GUARANTEED_TOTAL}`,
        },
      ];
}

/**
 * Finds faults that concern several entities of a deployment.
 *
 * @param settings - settings that satisfy the schema
 * @returns the faults; none for settings of another kind
 */
export function findDeploymentFaults(
  settings: Settings,
): readonly DeploymentFault[] {
  if (settings.kind !== 'deployment') {
    return [];
  }
  return [
    ...LISTS.flatMap(list => duplicateIds(settings, list)),
    ...undeclaredModels(settings),
    ...excessGuaranteedShares(settings),
  ];
}
