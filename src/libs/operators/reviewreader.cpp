#include "reviewreader.h"

namespace Wasabistair::Operators {

Base::Result<Figures> readMonthFigures(Platform::ObjectStore &store, const std::string &month)
{
    BOOST_LEAF_AUTO(keys, store.list(reviewPrefix(month)));
    Figures sum;
    for (const std::string &key : keys) {
        BOOST_LEAF_AUTO(value, store.get(key));
        const auto review = decodeReview(value.value);
        if (!review) {
            return Base::Leaf::new_error(Platform::PlatformError{Platform::PlatformFailure::MalformedAnswer, key});
        }
        sum = sum.mergedWith(review->total());
    }
    return sum;
}

} // namespace Wasabistair::Operators
