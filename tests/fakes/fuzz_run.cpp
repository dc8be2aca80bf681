#include "fakes/fuzz_run.h"

#include "fakes/fuzz.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <sstream>

namespace flamingotally::fakes
{

namespace
{

/** A number of any size, however long the list of acts is. */
rc::Gen<std::uint16_t> anyNumber()
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint16_t>());
}

/** Nothing: the oracle is the model. */
struct NoModel {
};

/** An act as RapidCheck's command. */
class ActCommand : public rc::state::Command<NoModel, FuzzedCell>
{
public:
    ActCommand() : m_act{*rc::gen::elementOf(weightedKinds()), *anyNumber(), *anyNumber()}
    {
    }

    void run(const NoModel & /*state*/, FuzzedCell &fuzzed) const override
    {
        fuzzed.perform(m_act);
        RC_ASSERT(fuzzed.cell.verdict() == "");
    }

    void show(std::ostream &stream) const override
    {
        stream << m_act;
    }

private:
    /** Each kind as often as it weighs. */
    static const std::vector<ActKind> &weightedKinds()
    {
        static const std::vector<ActKind> kinds = [] {
            std::vector<ActKind> all;
            for (std::size_t n = 0; n < static_cast<std::size_t>(ActKind::End); ++n) {
                all.insert(all.end(), weightOf(static_cast<ActKind>(n)), static_cast<ActKind>(n));
            }
            return all;
        }();
        return kinds;
    }

    Act m_act;
};

} // namespace

FuzzReport fuzz(const FuzzPlan &plan)
{
    FuzzReport report;
    const auto property = [&report] {
        FuzzedCell fuzzed(*anyNumber());
        auto &cell = fuzzed.cell;
        const auto acts = *rc::state::gen::commands(NoModel{}, rc::state::gen::execOneOfWithArgs<ActCommand>());
        rc::state::runAll(acts, NoModel{}, fuzzed);
        cell.finish();
        ++report.cells;
        report.steps += acts.size();
        report.checks += cell.oracle.checks();
        report.accepted += cell.oracle.accepted().size();
        report.runs += cell.world.journal.runs.size();
        RC_ASSERT(cell.verdict() == "");
    };
    rc::detail::TestParams params;
    params.seed = plan.seed;
    params.maxSuccess = plan.cells;
    params.maxSize = plan.maxListLength;
    params.disableShrinking = !plan.shrink;
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    report.text = text.str();
    report.passed = result.is<rc::detail::SuccessResult>();
    return report;
}

} // namespace flamingotally::fakes
