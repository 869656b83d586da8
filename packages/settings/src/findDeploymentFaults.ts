import type { Deployment, Settings } from './settingsSchemas.js';

interface CrossFault {
  readonly path: readonly (number | string)[];
  readonly expected: string;
}

const MAX_GUARANTEED = 0.5;

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
): readonly CrossFault[] {
  const ids = deployment[list].map(({ id }) => id);
  return ids.flatMap((id, index) =>
    ids.indexOf(id) < index
      ? [{ path: [list, index, 'id'], expected: `an id other than ${id}` }]
      : [],
  );
}

function undeclaredModels(deployment: Deployment): readonly CrossFault[] {
  const declared = new Set(deployment.modelVersions.map(({ id }) => id));
  return deployment.backendServers.flatMap((server, index) =>
    server.models.flatMap((model, place) =>
      declared.has(model)
        ? []
        : [
            {
              path: ['backendServers', index, 'models', place],
              expected: `a declared model instead of ${model}`,
            },
          ],
    ),
  );
}

function guaranteedTooMuch(deployment: Deployment): readonly CrossFault[] {
  const total = deployment.requestClasses.reduce(
    (sum, { guaranteedShare }) => sum + guaranteedShare,
    0,
  );
  return total <= MAX_GUARANTEED
    ? []
    : [
        {
          path: ['requestClasses'],
          expected: `guaranteed shares that add up to at most ${MAX_GUARANTEED}`,
        },
      ];
}

/**
 * Finds faults that concern several entities of a deployment.
 *
 * @param settings - settings whose shape was checked; other kinds have none
 * @returns faults with the path of the entity to correct
 */
export function findDeploymentFaults(
  settings: Settings,
): readonly CrossFault[] {
  if (settings.kind !== 'deployment') {
    return [];
  }
  return [
    ...LISTS.flatMap(list => duplicateIds(settings, list)),
    ...undeclaredModels(settings),
    ...guaranteedTooMuch(settings),
  ];
}
