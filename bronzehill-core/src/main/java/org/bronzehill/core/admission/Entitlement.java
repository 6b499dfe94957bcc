package org.bronzehill.core.admission;

import io.vavr.control.Either;
import org.bronzehill.config.AdapterSpec;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.KindSpec;
import org.bronzehill.config.TeamSpec;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.result.ResultCode;

/**
 * The right of a caller to use an adapter version for a kind of request under one configuration.
 *
 * @param weights location of the weights of the adapter version
 */
public record Entitlement(
        TeamSpec team,
        KindSpec kind,
        AdapterSpec adapter,
        AdapterVersion version,
        String weights,
        long configurationNumber) {

    /** Resolves the adapter version for a caller and checks that the caller is entitled to it. */
    public static Either<ResultCode, Entitlement> resolve(
            Configuration configuration,
            String teamName,
            String caller,
            String kindName,
            String adapterName) {
        TeamSpec team = configuration.team(teamName).getOrNull();
        if (team == null || !team.callers().containsValue(caller)) {
            return Either.left(ResultCode.UNAUTHENTICATED);
        }
        KindSpec kind = configuration.kind(kindName).getOrNull();
        if (kind == null) {
            return Either.left(ResultCode.UNKNOWN_KIND);
        }
        AdapterSpec adapter = configuration.adapter(adapterName).getOrNull();
        if (adapter == null) {
            return Either.left(ResultCode.UNKNOWN_ADAPTER);
        }
        int version = adapter.versionFor(kindName);
        String weights = adapter.versions().get(version);
        if (!team.kinds().contains(kindName)
                || !team.groups().contains(adapter.group())
                || !kind.isModelRequest()
                || weights == null) {
            return Either.left(ResultCode.NOT_ENTITLED);
        }
        return Either.right(
                new Entitlement(
                        team,
                        kind,
                        adapter,
                        new AdapterVersion(adapterName, version),
                        weights,
                        configuration.number()));
    }
}
