import type { Scenario, SimStream } from './Scenario.js';

/**
 * Returns the scenario with each stream replaced by the result of a function.
 */
export function mapStreams(
  scenario: Scenario,
  change: (stream: SimStream) => SimStream,
): Scenario {
  return { ...scenario, streams: scenario.streams.map(change) };
}

/** Tier of the request class of a stream; 1 if the class is not declared. */
export function tierOfStream(scenario: Scenario, stream: SimStream): number {
  const rules = scenario.classes.find(({ id }) => id === stream.requestClass);
  return rules?.tier ?? 1;
}

const demandTokensPerSecond = ({
  requestsPerSecond,
  meanTokens,
}: SimStream): number => requestsPerSecond * meanTokens;

/**
 * Scales the engine streams below tier 1 so that their total token demand is a
 * multiple of the engines' token capacity.
 *
 * @param scenario - scenario to change
 * @param capacityTokensPerSecond - token capacity of all engines
 * @param demandOverCapacity - ratio of the demand to the capacity
 * @returns the scenario with scaled streams
 */
export function overloadLowerTiers(
  scenario: Scenario,
  capacityTokensPerSecond: number,
  demandOverCapacity: number,
): Scenario {
  const isLower = (stream: SimStream): boolean =>
    stream.target === 'engine' && tierOfStream(scenario, stream) > 1;
  const currentDemand = scenario.streams
    .filter(isLower)
    .reduce((sum, stream) => sum + demandTokensPerSecond(stream), 0);
  const factor = (capacityTokensPerSecond * demandOverCapacity) / currentDemand;
  return mapStreams(scenario, stream =>
    isLower(stream)
      ? { ...stream, requestsPerSecond: stream.requestsPerSecond * factor }
      : stream,
  );
}
